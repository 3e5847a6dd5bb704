package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// reset closes the connection without a response.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// silent never sends a response.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// headOnly sends the head of a stream and no event.
func headOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Receipt", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush() // fails if the entry has gone
	<-r.Context().Done()
}

// endsBehindHead sends the head of a stream without a length, and closes the connection.
func endsBehindHead(w http.ResponseWriter, _ *http.Request) {
	writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", w.Header().Get("Id")))
}

// commentsOnly sends comments and no event.
func commentsOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Receipt", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": still here\n\n") // ends with the request
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against streams that are cut because a server that seemed to have room turned them
// away: the silent server that they came from goes on after 2.6 s.
func TestSilentStreamSurvivesAServerThatDoesNotContinueIt(t *testing.T) {
	const count, pause = 20, 2600 * time.Millisecond
	for name, second := range map[string]func(http.ResponseWriter, *http.Request){
		"full":               answer(503, "full", "Not-Run", "1"),
		"full for a second":  answer(503, "full", "Not-Run", "1", "Retry-After", "1"),
		"without promise":    answer(503, "full"),
		"another server":     answer(421, "other"),
		"failed":             answer(500, "failed"),
		"not found":          answer(404, "none"),
		"unsigned":           answer(200, "id: 4\ndata: event 4\n\n"),
		"text":               answer(200, "failed\n\n", "Receipt", "1", "Content-Type", "text/plain"),
		"resets":             reset,
		"breaks off":         breakOff(0),
		"ends behind a head": endsBehindHead,
		"silent":             silent,
		"only a head":        headOnly,
		"only comments":      commentsOnly,
	} {
		for _, after := range []int{0, 5} {
			if name == "text" && after == 0 {
				continue // before the first event it is a whole response
			}
			for _, stopping := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %d events stopping %t", name, after, stopping), func(t *testing.T) {
					run(t, func(s *site) {
						s.add("d1", "notes", "large", pausing(count, after, pause))
					}, func(s *site) {
						result := make(chan response)
						go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
						time.Sleep(100 * time.Millisecond)
						s.add("d2", "notes", "large", second)
						if stopping {
							go s.entry.Shutdown(context.Background())
						}
						got := <-result
						assert.NoError(s.t, got.err)
						assert.Equal(s.t, http.StatusOK, got.status)
						assert.Equal(s.t, completeStream(count), got.body, s.logs.String())
						assert.Positive(s.t, s.servers["d2"].requests(), "the second server was not asked")
					})
				})
			}
		}
	}
}

// Guards against plain requests that leave a silent server for one that turns them away:
// they stay where they are until their time is over.
func TestPlainRequestStaysAtASilentServer(t *testing.T) {
	for name, path := range map[string]string{"safe": "/bays/1", "unsafe": "/dock/1"} {
		for _, stopping := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stopping %t", name, stopping), func(t *testing.T) {
				run(t, func(s *site) { s.add("d1", "docking", "", slow(1300*time.Millisecond)) }, func(s *site) {
					result := make(chan response)
					go func() { result <- s.call(s.t.Context(), http.MethodPost, path, "1", nil) }()
					time.Sleep(100 * time.Millisecond)
					s.add("d2", "docking", "", answer(503, "full", "Not-Run", "1"))
					if stopping {
						go s.entry.Shutdown(context.Background())
					}
					got := <-result
					assert.NoError(s.t, got.err)
					assert.Equal(s.t, http.StatusOK, got.status, s.logs.String())
					assert.Zero(s.t, s.servers["d2"].requests())
				})
			})
		}
	}
}
