package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// listenAll starts the HTTP servers for callers, readiness, peers and metrics. It
// starts the last two only if the settings have an address for them.
func (g *Gateway) listenAll() error {
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: time.Minute + idleMargin, ConnState: g.callerConns.set,
	}
	var err error
	if g.callerListener, err = g.serve(g.server, g.settings.CallerAddress); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc(g.settings.ReadinessPath, g.handleReadiness)
	if _, err := g.serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, g.settings.ReadinessAddress); err != nil {
		return err
	}
	if g.settings.PeerAddress != "" {
		exchange := http.NewServeMux()
		exchange.Handle(exchangePath, g.peers.server)
		if _, err := g.serve(&http.Server{Handler: exchange, ReadHeaderTimeout: headerTimeout}, g.settings.PeerAddress); err != nil {
			return err
		}
	}
	if g.settings.MetricsAddress == "" {
		return nil
	}
	counters := http.NewServeMux()
	counters.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(g.metrics.vars.String()))
	})
	_, err = g.serve(&http.Server{Handler: counters, ReadHeaderTimeout: headerTimeout}, g.settings.MetricsAddress)
	return err
}

// serve opens a listener and serves it in the background.
func (g *Gateway) serve(s *http.Server, address string) (net.Listener, error) {
	l, err := g.listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	g.servers = append(g.servers, s)
	g.spawn(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.stopping.Load() {
			event.ListenerFailed.Log(g.logger, logrus.Fields{"address": address, "error": err})
		}
	})
	return l, nil
}

// Ready reports whether the load balancer should send new connections to the
// entry. It needs server records, the quarantine and a recently confirmed
// configuration, and is false during shutdown.
func (g *Gateway) Ready() bool {
	if g.stopping.Load() || g.configCache.table.Load() == nil || g.registry.View().Version == 0 || !g.isolation.ready() {
		return false
	}
	bound := g.settings.Bounds.Revocation
	return bound == 0 || g.bootClock().Sub(g.configCache.confirmedAt()) < time.Duration(float64(bound)*readyAgeFraction)
}

func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
