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

// serveEngine starts an engine whose model is loaded and warm immediately.
func serveEngine(t *testing.T) (*standin.Engine, *httptest.Server) {
	t.Helper()
	e := standin.NewEngine(standin.EngineSpeed{Slots: 4, ColdLimit: 1}, true)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	order := `{"group":"g","generation":1,"rank":0,"members":["x"],"model":"m"}`
	r, err := http.NewRequest(http.MethodPut, server.URL+"/role", strings.NewReader(order))
	require.NoError(t, err)
	response, err := server.Client().Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return e, server
}

// Guards against counting a finished request as running: a caller that has seen
// the end of a response may send its next request at once, so the slot must be
// free by then.
func TestEngineReleasesSlotBeforeEndOfResponse(t *testing.T) {
	e, server := serveEngine(t)
	for range 300 {
		response, err := server.Client().Post(server.URL+"/v1/chat/completions", "application/json",
			strings.NewReader(`{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Contains(t, string(body), "[DONE]")
		require.Zero(t, e.Running())
	}
}

// Guards against counting a cancelled request as running: its slot must be free
// when the cancellation is confirmed.
func TestEngineReleasesSlotBeforeConfirmingCancellation(t *testing.T) {
	e, server := serveEngine(t)
	for range 100 {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions",
			strings.NewReader(`{"model":"m","max_tokens":1000000000,"messages":[{"role":"user","content":"x"}]}`))
		require.NoError(t, err)
		r.Header.Set("X-Request-Id", "r")
		response, err := server.Client().Do(r)
		require.NoError(t, err)
		_, err = response.Body.Read(make([]byte, 1))
		require.NoError(t, err)
		cancelled, err := server.Client().Post(server.URL+"/v1/responses/r/cancel", "", nil)
		require.NoError(t, err)
		require.NoError(t, cancelled.Body.Close())
		require.Zero(t, e.Running())
		require.NoError(t, response.Body.Close())
	}
}
