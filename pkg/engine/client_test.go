package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
)

// startEngine starts a server that returns text for every request and counts
// the connections opened.
func startEngine(t *testing.T, text string) (address string, connections *atomic.Int64) {
	t.Helper()
	connections = &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush() // sends the end of the body in a separate chunk
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), connections
}

// readAll reads a response to its end and returns its events and the final
// error.
func readAll(t *testing.T, c *engine.Client, address string, r engine.Request) ([]string, error) {
	t.Helper()
	stream, err := c.Generate(context.Background(), address, r)
	require.NoError(t, err)
	defer stream.Close()
	var events []string
	for {
		data, err := stream.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

func TestGenerateReusesTheConnection(t *testing.T) {
	address, connections := startEngine(t, "id: r/0\ndata: a\n\nid: r/1\ndata: [DONE]\n\n")
	c := engine.NewClient()
	defer c.Close()
	for range 5 {
		events, err := readAll(t, c, address, engine.Request{Path: "/", ID: "r"})
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, []string{"a"}, events)
	}
	require.Equal(t, int64(1), connections.Load())
}

func TestNextRejectsUnexpectedEvents(t *testing.T) {
	resumed := 3
	for name, test := range map[string]struct {
		text    string
		request engine.Request
		want    error
		events  int
	}{
		"another request": {"id: r/0\ndata: a\n\nid: q/1\ndata: b\n\n", engine.Request{ID: "r"}, engine.ErrWrongEvent, 1},
		"a missing event": {"id: r/0\ndata: a\n\nid: r/2\ndata: b\n\n", engine.Request{ID: "r"}, engine.ErrWrongEvent, 1},
		"a duplicate":     {"id: r/0\ndata: a\n\nid: r/0\ndata: a\n\n", engine.Request{ID: "r"}, engine.ErrWrongEvent, 1},
		"no id":           {"data: a\n\n", engine.Request{ID: "r"}, engine.ErrWrongEvent, 0},
		"no end marker":   {"id: r/0\ndata: a\n\n", engine.Request{ID: "r"}, engine.ErrTruncated, 1},
		"partial event":   {"id: r/0\ndata: a\n\nid: r/1\ndata: b", engine.Request{ID: "r"}, engine.ErrTruncated, 1},
		"leading zero":    {"id: r/00\ndata: a\n\n", engine.Request{ID: "r"}, engine.ErrWrongEvent, 0},
		"resumed early":   {"id: r/3\ndata: a\n\n", engine.Request{ID: "r", ResumeAfter: &resumed}, engine.ErrWrongEvent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startEngine(t, test.text)
			c := engine.NewClient()
			defer c.Close()
			test.request.Path = "/"
			events, err := readAll(t, c, address, test.request)
			require.ErrorIs(t, err, test.want)
			require.Len(t, events, test.events)
		})
	}
}

func TestGenerateDistinguishesNotReachedFromMayHaveRun(t *testing.T) {
	c := engine.NewClient()
	defer c.Close()
	_, err := c.Generate(context.Background(), "127.0.0.1:1", engine.Request{Path: "/", ID: "r"})
	require.ErrorIs(t, err, engine.ErrNotReached)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	_, err = c.Generate(context.Background(), server.Listener.Addr().String(), engine.Request{Path: "/", ID: "r"})
	require.Error(t, err)
	require.NotErrorIs(t, err, engine.ErrNotReached)
}
