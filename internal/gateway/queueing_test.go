package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloaded runs a test in front of one group of four slots, whose streams take 0.8 s,
// with routes and an organisation of different priorities.
func overloaded(t *testing.T, play func(s *site)) {
	run(t, func(s *site) {
		s.config.Routes[0].Objective = 300 * time.Millisecond
		urgent := s.config.Routes[0]
		urgent.Name, urgent.Prefix, urgent.Objective = "urgent", "/urgent/", time.Second
		s.config.Routes[0].Priority = 1
		s.config.Routes = append(s.config.Routes, urgent)
		s.config.Organisations[0].Priority = 2
		s.putConfig()
		s.add("g1", "notes", "large", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Priority", r.Header.Get("Told-Priority"))
			events(20, nil)(w, r)
		})
	}, play)
}

// burst sends n requests, 60 in a second, and returns the responses.
func burst(s *site, path string, n int) []response {
	responses := make([]response, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			responses[i] = s.call(s.t.Context(), http.MethodPost, path, fmt.Sprint(path, i), map[string]string{
				"Wait-Ms": "3000", "Parts": fmt.Sprint("shared,", path, i),
			})
		})
		time.Sleep(time.Second / 60)
	}
	wg.Wait()
	return responses
}

func retryAfter(t *testing.T, r response) time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// Guards against urgent requests that are rejected for less urgent ones, and against
// times to return that callers ignore, because they are longer than a third of what they
// wait, or that all are the same.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	overloaded(t, func(s *site) {
		var wg sync.WaitGroup
		var usual, urgent []response
		wg.Go(func() { usual = burst(s, "/notes/", 60) })
		time.Sleep(300 * time.Millisecond)
		urgent = burst(s, "/urgent/", 4)
		wg.Wait()
		for _, r := range urgent {
			require.Equal(s.t, http.StatusOK, r.status)
			require.Equal(s.t, "6", r.header.Get("Priority"))
		}
		rejected := map[time.Duration]bool{}
		for _, r := range usual {
			if r.status == http.StatusOK {
				require.Equal(s.t, "7", r.header.Get("Priority"))
				continue
			}
			after := retryAfter(s.t, r)
			require.LessOrEqual(s.t, after, time.Second)
			rejected[after] = true
		}
		require.Greater(s.t, len(rejected), 20)
		require.Contains(s.t, s.logs.String(), `"by-urgency":true`)
		require.Regexp(s.t, `"ahead":"2/1: \d+".*"predicted-wait-ms":\d+.*"starts-per-second":\d.*"urgency":"2/1"`, s.logs.String())
	})
}

// Guards against callers that go unnoticed when they send a rejected request again
// before the time that they were asked to wait, and against others taken for them.
func TestCallersThatReturnEarlyAreLogged(t *testing.T) {
	overloaded(t, func(s *site) {
		var wg sync.WaitGroup
		wg.Go(func() { burst(s, "/notes/", 300) })
		time.Sleep(500 * time.Millisecond)
		send := func(part string) response {
			return s.call(s.t.Context(), http.MethodPost, "/notes/1", part, map[string]string{"Wait-Ms": "900", "Parts": "shared," + part})
		}
		time.Sleep(retryAfter(s.t, send("patient")))
		send("patient")
		require.NotContains(s.t, s.logs.String(), `"event":429`)
		for range 10 {
			if send("impatient").status == http.StatusServiceUnavailable {
				break
			}
		}
		require.NotContains(s.t, s.logs.String(), `"event":429`)
		send("impatient")
		require.Contains(s.t, s.logs.String(), `"event":429`)
		wg.Wait()
	})
}
