package decisionlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/decisionlog"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *blockedOutput) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a logger that blocks its callers while standard output blocks,
// for example because its reader has stopped. Lines that don't fit are counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := decisionlog.NewWriter(out, 1_000_000)
	for range 10_000 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close(time.Minute)
	require.Contains(t, out.text(), `"msg":"log lines were dropped"`)
	require.Positive(t, strings.Count(out.text(), "line\n"))
}

func TestLinesBeyondTheRateAreDroppedAndCounted(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	w := decisionlog.NewWriter(out, 10)
	for range 100 {
		_, _ = w.Write([]byte("line\n")) // never fails
	}
	w.Close(time.Minute)
	require.LessOrEqual(t, strings.Count(out.text(), "line\n"), 20)
	require.Contains(t, out.text(), `"lines":`)
}

// Guards against the loss of a process's last lines, which come in a burst.
func TestLastLinesAreNotLimited(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	w := decisionlog.NewWriter(out, 10)
	w.Unlimit()
	for range 1000 {
		_, _ = w.Write([]byte("line\n")) // never fails
	}
	w.Close(time.Minute)
	require.Equal(t, 1000, strings.Count(out.text(), "line\n"))
}

// Guards against the loss of errors, such as a stream that was cut, among many other lines.
func TestErrorsAreNotLimited(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	w := decisionlog.NewWriter(out, 10)
	for range 1000 {
		_, _ = w.Write([]byte("{\"level\":\"warning\"}\n")) // never fails
	}
	_, _ = w.Write([]byte("{\"level\":\"error\",\"msg\":\"cut\"}\n"))
	w.Close(time.Minute)
	require.Contains(t, out.text(), "\"cut\"")
	require.LessOrEqual(t, strings.Count(out.text(), "warning"), 20)
}
