package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// asksForTime wraps a handler: until the time in seconds has passed since the first
// request, it rejects requests and asks for the rest of that time.
func asksForTime(seconds float64, notRun bool, next func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	var until atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		until.CompareAndSwap(0, time.Now().Add(time.Duration(seconds*float64(time.Second))).UnixNano())
		if left := time.Until(time.Unix(0, until.Load())); left > 0 {
			if notRun {
				w.Header().Set("Not-Run", "1")
			}
			w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// routesOf are the routes of the site with the service and the model that serve them.
var routesOf = map[string][2]string{"/notes/1": {"notes", "large"}, "/dock/1": {"docking", ""}, "/bays/1": {"docking", ""}}

func handlerOf(path string) func(http.ResponseWriter, *http.Request) {
	if strings.HasPrefix(path, "/notes/") {
		return events(3, nil)
	}
	return ok
}

// Guards against requests at a server that has asked for time: it must get none until
// then, callers are rejected at once and told when to come back, and served after that.
func TestAServerThatAsksForTimeGetsNoRequestsMeanwhile(t *testing.T) {
	const seconds = 5
	for path, by := range routesOf {
		for _, notRun := range []bool{true, false} {
			t.Run(fmt.Sprint(path[1:5], notRun), func(t *testing.T) {
				run(t, func(s *site) {
					s.add("d1", by[0], by[1], asksForTime(seconds, notRun, handlerOf(path)))
				}, func(s *site) {
					s.call(s.t.Context(), http.MethodPost, path, "0", nil)
					asked := time.Now()
					for n := range 15 {
						began := time.Now()
						got := s.call(s.t.Context(), http.MethodPost, path, fmt.Sprint("r", n), nil)
						require.Equal(s.t, http.StatusServiceUnavailable, got.status)
						require.Less(s.t, time.Since(began), 20*time.Millisecond, "rejected at once")
						after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
						require.NoError(s.t, err)
						require.InDelta(s.t, seconds-time.Since(asked).Seconds(), after, 0.1)
						time.Sleep(200 * time.Millisecond)
					}
					require.Equal(s.t, 1, s.servers["d1"].requests())
					time.Sleep(time.Until(asked.Add(seconds*time.Second + 50*time.Millisecond)))
					for n := range 5 {
						require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, path, fmt.Sprint("s", n), nil).status)
					}
				})
			})
		}
	}
}

// Guards against callers that are rejected, or wait, because one server of two has
// asked for time.
func TestOtherServersServeWhileOneHasAskedForTime(t *testing.T) {
	for path, by := range routesOf {
		t.Run(path[1:5], func(t *testing.T) {
			run(t, func(s *site) {
				s.add("d1", by[0], by[1], asksForTime(5, true, handlerOf(path)))
				s.add("d2", by[0], by[1], handlerOf(path))
			}, func(s *site) {
				for n := range 20 {
					began := time.Now()
					require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), http.MethodPost, path, fmt.Sprint(n), nil).status)
					require.Less(s.t, time.Since(began), 300*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				require.LessOrEqual(s.t, s.servers["d1"].requests(), 1)
			})
		})
	}
}
