package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// serveEngine starts an engine that is loaded and warm at once.
func serveEngine(t *testing.T) (*standin.Engine, *httptest.Server) {
	t.Helper()
	e := standin.NewEngine(standin.EngineSpeed{Slots: 4, ColdLimit: 1}, true)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	order := `{"group":"g","generation":1,"rank":0,"members":["x"],"model":"m"}`
	r, err := http.NewRequest(http.MethodPut, server.URL+"/role", strings.NewReader(order))
	require.NoError(t, err)
	reply, err := server.Client().Do(r)
	require.NoError(t, err)
	require.NoError(t, reply.Body.Close())
	return e, server
}

func TestAnEngineHasLetGoWhenItTellsTheEnd(t *testing.T) {
	e, server := serveEngine(t)
	for range 300 {
		reply, err := server.Client().Post(server.URL+"/v1/chat/completions", "application/json",
			strings.NewReader(`{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`))
		require.NoError(t, err)
		body, err := io.ReadAll(reply.Body)
		require.NoError(t, err)
		require.NoError(t, reply.Body.Close())
		require.Contains(t, string(body), "[DONE]")
		require.Zero(t, e.Running())
	}
}

func TestAnEngineHasLetGoWhenItConfirmsACancellation(t *testing.T) {
	e, server := serveEngine(t)
	for range 100 {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions",
			strings.NewReader(`{"model":"m","max_tokens":1000000000,"messages":[{"role":"user","content":"x"}]}`))
		require.NoError(t, err)
		r.Header.Set("X-Request-Id", "r")
		reply, err := server.Client().Do(r)
		require.NoError(t, err)
		_, err = reply.Body.Read(make([]byte, 1))
		require.NoError(t, err)
		cancelled, err := server.Client().Post(server.URL+"/v1/responses/r/cancel", "", nil)
		require.NoError(t, err)
		require.NoError(t, cancelled.Body.Close())
		require.Zero(t, e.Running())
		require.NoError(t, reply.Body.Close())
	}
}
