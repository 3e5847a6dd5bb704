package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fullFor rejects requests without running them until the time has passed since the
// first one, and then answers as next does.
func fullFor(d time.Duration, next func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	var first time.Time
	return func(w http.ResponseWriter, r *http.Request) {
		if first.IsZero() {
			first = time.Now()
		}
		if time.Since(first) < d {
			answer(http.StatusServiceUnavailable, "full", "Not-Run", "1")(w, r)
			return
		}
		next(w, r)
	}
}

// Guards against requests that can't go back to a server that was full for a moment, and
// wait in vain for another one.
func TestARejectedRequestGoesBackToItsServer(t *testing.T) {
	for name, path := range map[string]string{"safe": "/bays/1", "unsafe": "/dock/1", "stream": "/notes/1"} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) {
				s.add("d1", "docking", "", fullFor(250*time.Millisecond, ok))
				s.add("g1", "notes", "large", fullFor(500*time.Millisecond, events(3, nil)))
			}, func(s *site) {
				got := s.call(s.t.Context(), http.MethodPost, path, "1", map[string]string{"Wait-Ms": "8000"})
				assert.NoError(s.t, got.err)
				assert.Equal(s.t, http.StatusOK, got.status, s.logs.String())
			})
		})
	}
}

// Guards against a stream of a dead server that is lost because the only other server was
// full for a moment.
func TestASilentStreamGoesBackToAServerThatWasFull(t *testing.T) {
	const count = 10
	after := 3
	run(t, func(s *site) { s.add("d1", "notes", "large", events(count, &after)) }, func(s *site) {
		result := make(chan response)
		go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
		time.Sleep(100 * time.Millisecond)
		s.add("d2", "notes", "large", fullFor(500*time.Millisecond, events(count, nil)))
		got := <-result
		assert.NoError(s.t, got.err)
		assert.Equal(s.t, completeStream(count), got.body, s.logs.String())
	})
}
