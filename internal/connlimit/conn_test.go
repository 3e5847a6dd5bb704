package connlimit_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
)

// Guards against requests that are refused while their bodies are not sent: net/http
// waits for the rest of such a body, and no timeout ends that.
func TestUnreadBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener(make(chan net.Conn))
		x := &fixture{listener: l, limiter: connlimit.New(4 * megabyte)}
		s := &http.Server{Handler: http.NotFoundHandler()}
		x.limiter.Install(s, nil)
		done := make(chan error, 1)
		go func() { done <- s.Serve(x.limiter.Listen(l, 3)) }()
		for range 3 {
			c := x.connect()
			defer c.Close()
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\n")
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		status, _, err := x.post(x.connect(), "small")
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, status)
		require.EqualValues(t, 1, x.limiter.Evicted())
		_ = s.Close()
		require.ErrorIs(t, <-done, http.ErrServerClosed)
		synctest.Wait()
	})
}

// Guards against a write deadline of the server that the limiter replaces by a later
// one.
func TestWriteDeadlinesOfTheServerApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := pipeListener(make(chan net.Conn, 1))
		l <- far
		c, err := connlimit.New(megabyte).Listen(l, 1).Accept()
		require.NoError(t, err)
		start := time.Now()
		require.NoError(t, c.SetDeadline(start.Add(3*time.Second)))
		_, err = c.Write([]byte("x"))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, 3*time.Second, time.Since(start))
		_ = near.Close()
	})
}
