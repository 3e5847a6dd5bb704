package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// breakOff sends the first events of a stream and then closes the connection.
func breakOff(after int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Receipt", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= after; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}
}

// answer returns a handler that sends one response.
func answer(status int, body string, header ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against an error in the middle of a stream: the stream has begun and breaks
// off, and the server that is to continue it answers with an error. Callers must get
// neither the error's text nor its head, nor may the stream end as if it were
// complete.
func TestAnErrorNeverContinuesAStream(t *testing.T) {
	const count, begun = 10, 3
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n"
	signed := []string{"Receipt", "1", "Content-Type", "text/event-stream"}
	for name, second := range map[string]func(http.ResponseWriter, *http.Request){
		"server error":          answer(500, "failed\n\n"),
		"signed error":          answer(500, "id: 4\ndata: failed\n\n", signed...),
		"not run":               answer(503, "full\n\n", "Not-Run", "1"),
		"without promise":       answer(503, "full\n\n"),
		"another server":        answer(421, "id: 4\ndata: other\n\n", signed...),
		"not found":             answer(404, "none\n\n", signed...),
		"redirect":              answer(302, "there\n\n", "Location", "/elsewhere"),
		"unsigned":              answer(200, "id: 4\ndata: event 4\n\n"),
		"empty, unsigned":       answer(200, ""),
		"no content":            answer(204, "", signed...),
		"encoded":               answer(200, "id: 4\ndata: event 4\n\n", append([]string{"Content-Encoding", "gzip"}, signed...)...),
		"text":                  answer(200, "failed\n\n", signed...),
		"JSON":                  answer(200, `{"error": "failed"}`+"\n\n", "Receipt", "1", "Content-Type", "application/json"),
		"empty JSON":            answer(200, "", "Receipt", "1", "Content-Type", "application/json"),
		"JSON as a stream":      answer(200, `{"error": "failed"}`+"\n\n", signed...),
		"head":                  answer(200, head+"full", signed...),
		"head after an event":   answer(200, "id: 4\ndata: event 4\n\n"+head+"full\n\n", signed...),
		"event without ID":      answer(200, "event: error\ndata: failed\n\n", signed...),
		"data without ID":       answer(200, "data: failed\n\n", signed...),
		"breaks off in a piece": answer(200, "id: 4\ndata: eve", signed...),
	} {
		for _, third := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " third ", third), func(t *testing.T) {
				run(t, func(s *site) {
					s.add("d1", "notes", "large", breakOff(begun))
				}, func(s *site) {
					result := make(chan response)
					go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
					time.Sleep(time.Millisecond)
					s.add("d2", "notes", "large", second)
					if third {
						time.Sleep(60 * time.Millisecond)
						s.add("d3", "notes", "large", events(count, nil))
					}
					got := <-result
					require.Equal(s.t, http.StatusOK, got.status)
					whole := completeStream(count)
					require.True(s.t, strings.HasPrefix(whole, got.body), strconv.Quote(got.body))
					require.True(s.t, got.body == "" || strings.HasSuffix(got.body, "\n\n"), strconv.Quote(got.body))
					if got.body != whole {
						require.Error(s.t, got.err, "the stream ended as if it were complete")
					}
					require.Positive(s.t, s.servers["d2"].requests(), "the second server was asked")
				})
			})
		}
	}
}

// Guards against counting a stream as resumed that has only begun at its second
// server: nothing of it was interrupted. A stream that breaks off is logged once.
func TestOnlyABrokenStreamIsLoggedAsResumed(t *testing.T) {
	const count = 10
	for name, c := range map[string]struct {
		first   func(http.ResponseWriter, *http.Request)
		resumed int
	}{
		"fails before its first event": {answer(500, "failed"), 0},
		"breaks off":                   {breakOff(3), 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) {
				s.add("d1", "notes", "large", c.first)
			}, func(s *site) {
				result := make(chan response)
				go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
				time.Sleep(time.Millisecond)
				s.add("d2", "notes", "large", events(count, nil))
				got := <-result
				require.NoError(s.t, got.err)
				require.Equal(s.t, completeStream(count), got.body)
				require.Equal(s.t, c.resumed, strings.Count(s.logs.String(), `"event":500,`), s.logs.String())
			})
		})
	}
}

// Guards against events that reach the caller twice: the server that continues a stream
// begins again at the first event, or at the last one that was received.
func TestACallerGetsEachEventOnce(t *testing.T) {
	for name, repeated := range map[string]int{"all": 1, "the last": 3} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) {
				s.add("d1", "notes", "large", breakOff(3))
			}, func(s *site) {
				result := make(chan response)
				go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "1", nil) }()
				time.Sleep(15 * time.Millisecond)
				events := ""
				for i := repeated; i <= 5; i++ {
					events += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
				}
				s.add("d2", "notes", "large", answer(200, events, "Receipt", "1", "Content-Type", "text/event-stream"))
				got := <-result
				require.NoError(s.t, got.err)
				require.Equal(s.t, completeStream(5), got.body, s.logs.String())
			})
		})
	}
}
