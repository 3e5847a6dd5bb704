package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// httpListener is a network listener with its HTTP server.
type httpListener struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// newListener opens an address, with TLS if a certificate is configured. The memory of
// its connections, of which there are maxConns at most, is charged to clients. Requests
// are handled only after serve was called.
func newListener(cfg settings.Listener, limits settings.Limits, listen ListenFunc, clients *connlimit.Limiter, maxConns int) (*httpListener, error) {
	listener, err := listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Address)
	}
	if cfg.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(cfg.CertificateFile, cfg.PrivateKeyFile)
		if err != nil {
			_ = listener.Close()
			return nil, errors.Wrapf(err, "load the TLS certificate of %s", cfg.Address)
		}
		listener = clients.ListenTLS(listener, maxConns, &tls.Config{
			Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12,
		})
	} else {
		listener = clients.Listen(listener, maxConns)
	}
	server := &http.Server{
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	clients.Install(server, nil)
	return &httpListener{listener: listener, done: make(chan struct{}), server: server}, nil
}

func (l *httpListener) address() string {
	return l.listener.Addr().String()
}

// serve handles requests in a goroutine until shutdown or closeNow is called.
func (l *httpListener) serve(logger *logrus.Logger, handler http.Handler) {
	l.server.Handler = handler
	l.server.ErrorLog = nil
	go func() {
		defer close(l.done)
		err := l.server.Serve(l.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Log(logger, logrus.Fields{"address": l.address(), "error": err})
		}
	}()
}

// shutdown stops accepting connections and waits for in-flight requests. If ctx
// ends first, it closes the remaining connections and returns the error. serve
// must have been called before.
func (l *httpListener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	<-l.done
	return err
}

// closeNow closes the listener and all connections without waiting for in-flight
// requests. It waits up to a second for the goroutine of serve to return.
func (l *httpListener) closeNow() {
	_ = l.server.Close()
	select {
	case <-l.done:
	case <-time.After(time.Second):
	}
}
