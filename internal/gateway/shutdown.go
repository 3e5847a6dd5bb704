package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

const (
	// closePeriod is how long the entry waits for the requests on connections that
	// it has just accepted. Callers send one within a round trip.
	closePeriod = 500 * time.Millisecond
	// closeCheckInterval is how often the entry checks whether they are answered.
	closeCheckInterval = 20 * time.Millisecond
)

// stopping reports whether Shutdown has begun.
func (g *Gateway) stopping() bool { return g.shutdownBeganAt.Load() != nil }

// acceptsAt reports whether the entry, which is stopping, still accepts requests.
func (g *Gateway) acceptsAt(now time.Time) bool {
	return now.Sub(*g.shutdownBeganAt.Load()) <= min(shutdownAcceptPeriod, g.graceTime(acceptFraction))
}

// graceTime returns a fraction of the grace time.
func (g *Gateway) graceTime(fraction float64) time.Duration {
	return time.Duration(float64(g.settings.Bounds.Grace) * fraction)
}

// Shutdown reports the entry as not ready and releases the controller lease. It
// serves requests until none is in flight and new ones would be rejected, and then
// for up to closePeriod those on connections that it has just accepted, but at most
// until graceFraction of the grace time has passed or ctx ends. Then it ends the
// requests that are still in flight, closes the remaining connections and waits for the
// entry's goroutines to end.
func (g *Gateway) Shutdown(ctx context.Context) {
	now := time.Now()
	g.shutdownBeganAt.Store(&now)
	event.Stopping.Log(g.logger, logrus.Fields{})
	graceCtx, cancel := context.WithTimeout(ctx, g.graceTime(graceFraction))
	defer cancel()
	g.control.release(graceCtx)
	g.awaitIdle(graceCtx)
	g.closeCallers(graceCtx, closePeriod)
	g.endGraceTime()
	if g.inFlight.Load() > 0 {
		g.closeCallers(ctx, g.graceTime(endFraction))
	}
	if addresses := g.callerConns.addresses(); len(addresses) > 0 {
		event.ConnectionsCutOff.Log(g.logger, logrus.Fields{"connections": len(addresses), "addresses": addresses})
	}
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.spawnMu.Lock()
	g.ended = true
	g.spawnMu.Unlock()
	g.wg.Wait()
	event.Stopped.Log(g.logger, logrus.Fields{})
}

// writeHead writes the head of a response. During a shutdown the caller must not reuse the
// connection: the entry could close it before the next request arrives.
func (g *Gateway) writeHead(w http.ResponseWriter, status int) {
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// closeCallers accepts no more connections of callers, and waits until the requests
// on the others are answered, also on those that it has just accepted.
// http.Server.Shutdown would drop them.
func (g *Gateway) closeCallers(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_ = g.callerListener.Close()
	select {
	case <-g.callersAccepted:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for g.callerConns.busy() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitIdle returns when no request is in flight and new ones would be
// rejected, or when ctx ends.
func (g *Gateway) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			event.ShutdownTimedOut.Log(g.logger, logrus.Fields{"requests": g.inFlight.Load()})
			return
		case now := <-ticker.C:
			if g.inFlight.Load() == 0 && !g.acceptsAt(now.Add(-idleCheckInterval)) {
				return
			}
		}
	}
}
