package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lines returns the log lines of an event.
func (l *logLines) lines(t *testing.T, number int) []map[string]any {
	t.Helper()
	var found []map[string]any
	for line := range strings.Lines(l.String()) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		if fields["event"] == float64(number) {
			found = append(found, fields)
		}
	}
	return found
}

// Guards against cut streams that the log does not explain: it names the stream, its
// servers, what each of them answered, and how long it had been without an event.
func TestTheLogExplainsACutStream(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "notes", "large", breakOff(3)) }, func(s *site) {
		result := make(chan response)
		go func() { result <- s.call(s.t.Context(), http.MethodPost, "/notes/1", "stream-1", nil) }()
		time.Sleep(time.Millisecond)
		s.add("d2", "notes", "large", answer(503, "full", "Not-Run", "1", "Retry-After", "1.5"))
		got := <-result
		assert.Error(s.t, got.err)
		lines := s.logs.lines(s.t, 508)
		if !assert.Len(s.t, lines, 1) {
			return
		}
		assert.Equal(s.t, "stream-1", lines[0]["request"])
		assert.Equal(s.t, "the stream was cut: no server continues it", lines[0]["reason"])
		assert.Equal(s.t, float64(3), lines[0]["events"])
		assert.InDelta(s.t, 1200, lines[0]["idle-ms"], 100)
		assert.Regexp(s.t, `^d1 3 events in \d+ms .*EOF; d2 0 events in 0s status 503, not run, asks for 1\.5s; no replica group has capacity$`, lines[0]["attempts"])
	})
}

// Guards against a panic of the handler that leaves no line in the log.
func TestAPanicIsLoggedWithItsRequest(t *testing.T) {
	run(t, func(s *site) { s.add("d1", "docking", "", answer(200, "", "Panic", "1")) }, func(s *site) {
		got := s.call(s.t.Context(), http.MethodPost, "/dock/1", "call-1", nil)
		assert.ErrorIs(s.t, got.err, io.EOF)
		lines := s.logs.lines(s.t, 104)
		if !assert.Len(s.t, lines, 1) {
			return
		}
		assert.Equal(s.t, "call-1", lines[0]["request"])
		assert.Equal(s.t, "decode the response", lines[0]["cause"])
		assert.Contains(s.t, lines[0]["stack"], "attemptPlain")
	})
}

// Guards against connections that a stop closes in the middle of a request without a line
// in the log.
func TestConnectionsThatAStopCutsOffAreLogged(t *testing.T) {
	run(t, func(s *site) {}, func(s *site) {
		conn, err := s.network.Dialer("a")(s.t.Context(), "tcp", callerAddress)
		require.NoError(s.t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /dock/1 HTTP/1.1\r\nHost: yard.example\r\nKey: %s\r\nWait-Ms: 60000\r\nContent-Length: 2\r\n\r\na", key)
		require.NoError(s.t, err)
		time.Sleep(time.Millisecond)
		s.entry.Shutdown(context.Background())
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		assert.Error(s.t, err)
		lines := s.logs.lines(s.t, 110)
		if assert.Len(s.t, lines, 1) {
			assert.Equal(s.t, float64(1), lines[0]["connections"])
		}
	})
}
