package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// foreign answers like a program that is no backend server: without the request's ID and a
// signature.
func foreign(status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Id")
		w.WriteHeader(status)
	}
}

// Guards against the answer of a program that only listens at a server's address: callers
// took its 404 for the answer to their request and gave up.
func TestAForeignResponseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{302, 400, 401, 403, 404, 405, 413} {
		for name, c := range map[string]struct {
			path          string
			alone, beside int
		}{
			"unsafe": {"/dock/1", http.StatusBadGateway, http.StatusBadGateway},
			"safe":   {"/bays/1", http.StatusBadGateway, http.StatusOK},
			"stream": {"/notes/1", http.StatusBadGateway, http.StatusOK},
		} {
			t.Run(fmt.Sprint(name, " ", status), func(t *testing.T) {
				run(t, func(s *site) {
					s.add("d1", "docking", "", foreign(status))
					s.add("g1", "notes", "large", foreign(status))
				}, func(s *site) {
					got := s.call(s.t.Context(), http.MethodPost, c.path, "1", nil)
					assert.Equal(s.t, c.alone, got.status, s.logs.String())
					time.Sleep(2 * time.Second) // until the server is used again
					go func() {
						time.Sleep(time.Millisecond)
						s.add("d2", "docking", "", ok)
						s.add("g2", "notes", "large", events(3, nil))
					}()
					got = s.call(s.t.Context(), http.MethodPost, c.path, "2", nil)
					assert.Equal(s.t, c.beside, got.status, s.logs.String())
				})
			})
		}
	}
}

// Guards against taking a server's own client error for a foreign one.
func TestAServersClientErrorIsPassedOn(t *testing.T) {
	for _, path := range []string{"/dock/1", "/bays/1", "/notes/1"} {
		run(t, func(s *site) {
			s.add("d1", "docking", "", answer(404, "none"))
			s.add("g1", "notes", "large", answer(404, "none"))
		}, func(s *site) {
			got := s.call(s.t.Context(), http.MethodPost, path, "1", nil)
			assert.Equal(s.t, http.StatusNotFound, got.status)
			assert.Equal(s.t, "none", got.body)
		})
	}
}
