package connlimit_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
)

// serveTLS runs f with a server that uses TLS and whose clients may hold capacity bytes.
func serveTLS(t *testing.T, capacity int64, f func(t *testing.T, x *fixture)) {
	t.Helper()
	certificates := httptest.NewUnstartedServer(nil)
	certificates.StartTLS() // creates a certificate
	cfg := certificates.TLS
	certificates.Close()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{listener: make(pipeListener)}
		x.limiter = connlimit.New(capacity, connlimit.WithOnEvict(func(e connlimit.Eviction) { x.evicted = append(x.evicted, e) }))
		s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.NotFoundHandler()}
		x.limiter.Install(s, nil)
		done := make(chan error, 1)
		go func() {
			done <- s.Serve(x.limiter.ListenTLS(x.listener, 100, &tls.Config{Certificates: cfg.Certificates, MinVersion: tls.VersionTLS12}))
		}()
		f(t, x)
		synctest.Wait() // until the connections that f closed are gone
		_ = s.Close()
		require.ErrorIs(t, <-done, http.ErrServerClosed)
		synctest.Wait()
	})
}

// Guards against heads that are not charged because they arrive through TLS.
func TestHeadsThroughTLSAreCharged(t *testing.T) {
	serveTLS(t, megabyte, func(t *testing.T, x *fixture) {
		below := x.connect()
		defer below.Close()
		c := tls.Client(below, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the test's own certificate
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: s\r\n"+strings.Repeat("x:\r\n", 1000))
		require.NoError(t, err)
		synctest.Wait()
		require.Greater(t, x.limiter.Used(), int64(200_000))
	})
}

// Guards against messages of a TLS handshake that span many records and stay.
func TestHandshakesWithoutEndAreCharged(t *testing.T) {
	serveTLS(t, megabyte, func(t *testing.T, x *fixture) {
		c := x.connect()
		defer c.Close()
		part := "\x16\x03\x01\x3e\x80" + strings.Repeat("\x00", 16000)
		_, err := io.WriteString(c, strings.Replace(part, "\x00", "\x01\x00\xff\x00", 1)[:len(part)]+part+part)
		require.NoError(t, err)
		synctest.Wait()
		require.Greater(t, x.limiter.Used(), int64(90_000))
		time.Sleep(11 * time.Second)
		synctest.Wait()
		require.Zero(t, x.limiter.Connections())
	})
}
