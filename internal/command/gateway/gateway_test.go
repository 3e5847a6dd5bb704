package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/loopback"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal(event + " did not happen in time")
}

// The gateway must run while its store is unreachable: it is not ready, returns
// 503, serves its metrics, handles SIGHUP with valid and invalid settings, and
// shuts down gracefully.
func TestGatewayRunsReloadsAndStops(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	addresses, err := loopback.Unused(3)
	require.NoError(t, err)
	caller, readiness, metrics := addresses[0], addresses[1], addresses[2]
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(fmt.Sprintf(`{
		"name": "a-1", "zone": "a", "caller-address": %q, "readiness-address": %q, "metrics-address": %q,
		"store-address": "127.0.0.1:1", "bounds": {"grace": "1s"}, // a comment
	}`, caller, readiness, metrics))
	out := &syncBuffer{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- gateway.Run(ctx, &gateway.Options{Factory: &factory.Factory{Out: out, Err: io.Discard}, SettingsFile: file})
	}()
	get := func(address, path string) (int, string) {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	waitFor(t, "a response with status 503", func() bool {
		status, _ := get(caller, "/x")
		return status == http.StatusServiceUnavailable
	})
	// The readiness listener opens after the one for callers.
	status := 0
	waitFor(t, "a response on the readiness address", func() bool {
		status, _ = get(readiness, "/ready")
		return status != 0
	})
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, body := get(metrics, "/metrics")
	require.Contains(t, body, `"served-ms"`)
	require.Contains(t, body, `"answers-503": 1`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitFor(t, "the reload event", func() bool { return bytes.Contains([]byte(out.String()), []byte(`"event":107`)) })
	write("{")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitFor(t, "the event for rejected settings", func() bool { return bytes.Contains([]byte(out.String()), []byte(`"event":108`)) })
	cancel()
	require.NoError(t, <-done)
	require.Contains(t, out.String(), `"event":102`)
}

func TestExampleSettingsAreValid(t *testing.T) {
	_, err := settings.LoadGateway("../../../examples/gateway-a.json")
	require.NoError(t, err)
}

func TestRunReportsAllSettingsErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "a-1", "caller-address": "here", "first-start": 1}`), 0o600))
	err := gateway.Run(t.Context(), &gateway.Options{Factory: &factory.Factory{Out: io.Discard}, SettingsFile: file})
	for _, want := range []string{"zone is missing", "caller-address is not an address", "store-address is missing", "first-start is not true or false"} {
		require.ErrorContains(t, err, want)
	}
}

// slowOutput takes the last line only after a delay, like a pipe whose reader is busy.
type slowOutput struct{ syncBuffer }

func (s *slowOutput) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(`"event":102`)) {
		time.Sleep(500 * time.Millisecond)
	}
	return s.syncBuffer.Write(p)
}

// Guards against the loss of the last lines of a process whose log output is slow: the
// grace time leaves room for them.
func TestLastLinesReachASlowOutput(t *testing.T) {
	addresses, err := loopback.Unused(2)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{
		"name": "a-1", "zone": "a", "caller-address": %q, "readiness-address": %q,
		"store-address": "127.0.0.1:1", "bounds": {"grace": "16s"}
	}`, addresses[0], addresses[1]), 0o600))
	out := &slowOutput{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, gateway.Run(ctx, &gateway.Options{Factory: &factory.Factory{Out: out, Err: io.Discard}, SettingsFile: file}))
	require.Contains(t, out.String(), `"event":102`)
}
