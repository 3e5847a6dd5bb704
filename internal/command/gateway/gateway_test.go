package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal(what + " did not come")
}

// The program runs without its store: it is not ready, answers 503, serves its
// counters, takes SIGHUP with good and bad settings, and ends in order.
func TestAGatewayRunsReloadsAndStops(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	caller, ready, counters := freeAddress(t), freeAddress(t), freeAddress(t)
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(fmt.Sprintf(`{
		"name": "a-1", "zone": "a", "caller-address": %q, "readiness-address": %q, "metrics-address": %q,
		"store-address": "127.0.0.1:1", "bounds": {"grace": "1s"}, // a comment
	}`, caller, ready, counters))
	out := &output{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- gateway.Run(ctx, &gateway.Options{Factory: &factory.Factory{Out: out, Err: io.Discard}, SettingsFile: file})
	}()
	get := func(address, path string) (int, string) {
		reply, err := http.Get("http://" + address + path)
		if err != nil {
			return 0, ""
		}
		defer reply.Body.Close()
		body, err := io.ReadAll(reply.Body)
		require.NoError(t, err)
		return reply.StatusCode, string(body)
	}
	await(t, "an answer", func() bool {
		status, _ := get(caller, "/x")
		return status == http.StatusServiceUnavailable
	})
	status, _ := get(ready, "/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, body := get(counters, "/metrics")
	require.Contains(t, body, `"served-ms"`)
	require.Contains(t, body, `"answers-503": 1`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await(t, "the reload", func() bool { return bytes.Contains([]byte(out.String()), []byte(`"event":107`)) })
	write("{")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await(t, "the rejection", func() bool { return bytes.Contains([]byte(out.String()), []byte(`"event":108`)) })
	cancel()
	require.NoError(t, <-done)
	require.Contains(t, out.String(), `"event":102`)
}

func TestTheExampleIsAccepted(t *testing.T) {
	_, err := settings.LoadGateway("../../../examples/gateway-a.json")
	require.NoError(t, err)
}

func TestSettingsAreCheckedAsAWhole(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "a-1", "caller-address": "here", "first-start": 1}`), 0o600))
	err := gateway.Run(t.Context(), &gateway.Options{Factory: &factory.Factory{Out: io.Discard}, SettingsFile: file})
	for _, want := range []string{"zone is missing", "caller-address is not an address", "store-address is missing", "first-start is not true or false"} {
		require.ErrorContains(t, err, want)
	}
}
