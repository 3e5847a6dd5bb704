package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// run plays a test in virtual time.
func run(t *testing.T, prepare, play func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		prepare(s)
		s.start()
		play(s)
		s.stop()
		time.Sleep(time.Minute)
	})
}

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", ok) }, func(s *site) {
		a := s.call(s.t.Context(), http.MethodPost, "/dock/a%2Fb", "1", nil)
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, "done", a.body)
		require.Equal(t, "1", a.header.Get("Receipt"))
		require.Contains(t, s.logs.String(), `"request":"1"`)
	})
}

// A member is killed silently while streams run: every stream of its group
// goes on elsewhere before its caller leaves after two seconds, with nothing
// twice and nothing missing.
func TestStreamsOfAGroupThatStandsStillGoOnElsewhere(t *testing.T) {
	const streams, count = 3, 30
	silent := 10
	run(t, func(s *site) {
		s.add("g1", "notes", "large", events(count, &silent))
	}, func(s *site) {
		answers := make([]answer, streams)
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() { answers[i] = s.call(s.t.Context(), http.MethodPost, "/notes/1", fmt.Sprint(i), nil) })
		}
		time.Sleep(200 * time.Millisecond)
		s.add("g2", "notes", "large", events(count, nil))
		wg.Wait()
		for _, a := range answers {
			require.NoError(t, a.err)
			require.Equal(t, wholeStream(count), a.body)
			require.Less(t, a.longest, 2*time.Second)
		}
		require.Equal(t, streams, s.servers["g2"].requests())
	})
}

// One group after the other stands still: the request begins at no more
// servers than its route allows, though another one has room.
func TestAStreamBeginsAtNoMoreServersThanItsRouteAllows(t *testing.T) {
	silent := [3]int{2, 4, 6}
	ids := []string{"g1", "g2", "g3"}
	run(t, func(s *site) {
		for i, id := range ids {
			s.add(id, "notes", "large", events(9, &silent[i]))
		}
	}, func(s *site) {
		a := s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil)
		require.Error(t, a.err)
		began := 0
		for _, id := range ids {
			began += s.servers[id].requests()
		}
		require.Equal(t, s.config.Routes[0].MaxAttempts, began)
	})
}

// The leader crashes in the middle of an event.
func TestATornStreamGoesOnElsewhere(t *testing.T) {
	torn := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Receipt", "1")
		_, _ = w.Write([]byte("id: 1\ndata: event 1\n\nid: 2\nda")) // the test reads what arrives
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	run(t, func(s *site) { s.add("g1", "notes", "large", torn) }, func(s *site) {
		go func() {
			time.Sleep(50 * time.Millisecond)
			s.add("g2", "notes", "large", events(5, nil))
		}()
		a := s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil)
		require.NoError(t, a.err)
		require.Equal(t, wholeStream(5), a.body)
	})
}

// Nowhere to go on: the stream is cut so that it does not look whole.
func TestAStreamThatCannotGoOnIsCutVisibly(t *testing.T) {
	silent := 3
	run(t, func(s *site) { s.add("g1", "notes", "large", events(9, &silent)) }, func(s *site) {
		a := s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil)
		require.Error(t, a.err)
		require.Equal(t, wholeStream(3), a.body)
		require.Contains(t, s.logs.String(), "the stream was cut")
	})
}

// A server runs a record and its answer is lost: it is never sent again, and
// the refusal does not claim that it has not run.
func TestANonIdempotentCallIsNeverSentTwice(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	run(t, func(s *site) {
		s.config.Routes[1].MaxAttempts = 2 // bounds servers that may be asked, not what may run twice
		s.putConfig()
		s.add("d1", "docking", "", lost)
		s.add("d2", "docking", "", lost)
	}, func(s *site) {
		a := s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil)
		require.Equal(t, http.StatusBadGateway, a.status)
		require.Equal(t, 1, s.servers["d1"].requests()+s.servers["d2"].requests())
	})
}

func TestASafeCallIsSentAgainElsewhere(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	run(t, func(s *site) {
		s.add("d1", "docking", "", lost)
		s.add("d2", "docking", "", ok)
	}, func(s *site) {
		for i := range 3 {
			require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodGet, "/bays/1", fmt.Sprint(i), nil).status)
		}
	})
}

// The route's time is over while a server is still at work.
func TestACallIsAnsweredAtItsRoutesTimeout(t *testing.T) {
	slow := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	run(t, func(s *site) { s.add("d1", "docking", "", slow) }, func(s *site) {
		began := time.Now()
		a := s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", map[string]string{"Wait-Ms": "3000"})
		require.Equal(t, http.StatusGatewayTimeout, a.status)
		require.InDelta(t, 1.5, time.Since(began).Seconds(), 0.1)
	})
}

// The server refuses and says that it has not run the request: so may we.
func TestARejectedCallIsRefusedTruthfully(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	run(t, func(s *site) { s.add("d1", "docking", "", full) }, func(s *site) {
		a := s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
	})
}

func TestAnswersWithoutReceiptOrWithAnEncodingAreNotPassedOn(t *testing.T) {
	for name, header := range map[string][2]string{
		"no receipt": {"X", "1"}, "encoded": {"Content-Encoding", "gzip"},
	} {
		t.Run(name, func(t *testing.T) {
			bad := func(w http.ResponseWriter, _ *http.Request) {
				if name == "encoded" {
					w.Header().Set("Receipt", "1")
				}
				w.Header().Set(header[0], header[1])
				_, _ = w.Write([]byte("done")) // the test reads what arrives
			}
			run(t, func(s *site) { s.add("d1", "docking", "", bad) }, func(s *site) {
				require.Equal(t, http.StatusBadGateway, s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil).status)
			})
		})
	}
}

func TestBadRequestsGetTheirStatus(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", ok) }, func(s *site) {
		require.Equal(t, http.StatusNotFound, s.call(s.t.Context(), http.MethodPost, "/none/1", "1", nil).status)
		require.Equal(t, http.StatusUnauthorized, s.call(s.t.Context(), http.MethodPost, "/dock/1", "2", map[string]string{"Key": "other"}).status)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodGet, "/bays/1", "3", map[string]string{"Key": ""}).status)
	})
}

// The store is away: keys are trusted for the revocation bound and not longer,
// public routes go on, and the entry says early that it is not ready.
func TestKeysAreTrustedOnlyWhileTheirEvidenceIsFresh(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", ok) }, func(s *site) {
		s.store.SetFaults(standin.StoreFaults{Silent: true})
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil).status)
		time.Sleep(2 * time.Second)
		require.False(t, s.entry.Ready())
		time.Sleep(2 * time.Second)
		a := s.call(s.t.Context(), http.MethodPost, "/dock/1", "2", nil)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
		// A key that is not known here may be a new one.
		b := s.call(s.t.Context(), http.MethodPost, "/dock/1", "5", map[string]string{"Key": "k9"})
		require.Equal(t, http.StatusServiceUnavailable, b.status)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodGet, "/bays/1", "3", nil).status)
		s.store.SetFaults(standin.StoreFaults{})
		time.Sleep(4 * time.Second)
		require.True(t, s.entry.Ready())
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", "4", nil).status)
	})
}

func TestARevokedKeyIsRefusedWithinASecond(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", ok) }, func(s *site) {
		s.config.Version, s.config.Organisations[0].Keys = 5, []string{"k2"}
		s.putConfig()
		time.Sleep(time.Second)
		require.Equal(t, http.StatusUnauthorized, s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil).status)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", "2", map[string]string{"Key": "k2"}).status)
	})
}

func TestAConfigurationNeverGoesBack(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", ok) }, func(s *site) {
		s.config.Version = 9
		s.putConfig()
		time.Sleep(time.Second)
		s.config.Version, s.config.Routes = 8, nil
		s.putConfig()
		s.store.Put("op", "config", []byte("{not json"))
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil).status)
		require.Contains(t, s.logs.String(), `"in-force":9`)
		require.Contains(t, s.logs.String(), "configuration change can't be applied")
	})
}

// Leaving servers and zones that are out get no new work within a second; an
// unreadable entry names no server and disturbs no other.
func TestLeavingServersAndZonesThatAreOutGetNothing(t *testing.T) {
	run(t, func(s *site) {
		s.add("d1", "docking", "", ok)
		s.add("d2", "docking", "", ok)
	}, func(s *site) {
		s.list(s.servers["d1"], "docking", "", true)
		s.store.Put("servers", "d3", []byte("{"))
		time.Sleep(time.Second)
		for i := range 5 {
			require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", fmt.Sprint(i), nil).status)
		}
		require.Zero(t, s.servers["d1"].requests())
		s.store.Put("op", "out/a", nil)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusServiceUnavailable, s.call(s.t.Context(), http.MethodPost, "/dock/1", "6", nil).status)
		require.Regexp(t, `"request":"6".*"servers":0.*"view":\d+.*"view-age-ms":\d+`, s.logs.String())
		s.store.Delete("op", "out/a")
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, "/dock/1", "7", nil).status)
	})
}

// SIGTERM: what is in progress ends whole, late requests on kept connections
// are refused truthfully, and the entry ends well before the grace time.
func TestAShutdownCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.add("g1", "notes", "large", events(60, nil))
		s.start()
		var whole answer
		done := make(chan struct{})
		go func() {
			defer close(done)
			whole = s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil)
		}()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan time.Duration)
		began := time.Now()
		go func() {
			s.entry.Shutdown(context.Background())
			stopped <- time.Since(began)
		}()
		time.Sleep(time.Second)
		require.False(t, s.entry.Ready())
		early := s.call(s.t.Context(), http.MethodPost, "/notes/1", "2", nil)
		require.NoError(t, early.err)
		<-done
		require.Equal(t, wholeStream(60), whole.body)
		require.Less(t, <-stopped, 7*time.Second)
		s.client.CloseIdleConnections()
		s.servers["g1"].stop()
		time.Sleep(time.Minute)
	})
}

func TestRequestsLongAfterTheSignalAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.add("g1", "notes", "large", events(100, nil))
		s.start()
		go func() { s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
		time.Sleep(100 * time.Millisecond)
		go s.entry.Shutdown(context.Background())
		time.Sleep(3100 * time.Millisecond)
		a := s.call(s.t.Context(), http.MethodPost, "/notes/1", "2", nil)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, 1, s.servers["g1"].requests())
		time.Sleep(time.Minute)
		s.client.CloseIdleConnections()
		s.servers["g1"].stop()
		time.Sleep(time.Minute)
	})
}

func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	silent := 0
	run(t, func(s *site) { s.add("g1", "notes", "large", events(9, &silent)) }, func(s *site) {
		ctx, cancel := context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, s.call(ctx, http.MethodPost, "/notes/1", "1", nil).err)
		time.Sleep(100 * time.Millisecond)
		s.servers["g1"].mu.Lock()
		defer s.servers["g1"].mu.Unlock()
		require.Equal(t, 1, s.servers["g1"].ended)
	})
}

// A request waits for a place while its key's evidence grows too old: it is not
// sent.
func TestAKeyIsCheckedAgainBeforeTheSend(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(300 * time.Millisecond)
		}
		ok(w, r)
	}
	run(t, func(s *site) { s.add("d1", "docking", "", slow) }, func(s *site) {
		s.store.SetFaults(standin.StoreFaults{Silent: true})
		for s.entry.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		// Entries stop being ready at 0.55 of the bound.
		time.Sleep(revocation*45/100 - 150*time.Millisecond)
		var wg sync.WaitGroup
		for i := range 5 { // all places of the server
			wg.Go(func() { s.call(s.t.Context(), http.MethodGet, "/bays/1", fmt.Sprint("full", i), nil) })
		}
		time.Sleep(10 * time.Millisecond)
		a := s.call(s.t.Context(), http.MethodPost, "/dock/1", "1", nil)
		wg.Wait()
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Contains(t, s.logs.String(), "no longer confirmed")
		require.Equal(t, 5, s.servers["d1"].requests())
	})
}
