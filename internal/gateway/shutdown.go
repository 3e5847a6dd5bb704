package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// stoppingSince returns when Shutdown began. It is only valid after that.
func (g *Gateway) stoppingSince() time.Time { return time.Unix(0, g.shutdownBeganAt.Load()) }

// Shutdown reports the entry as not ready and releases the controller lease. It
// serves requests until none is in flight and new ones would be rejected, but at
// most until graceFraction of the grace time has passed or ctx ends. Then it
// closes the connections of callers and waits for the entry's goroutines to end.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.shutdownBeganAt.Store(time.Now().UnixNano())
	g.stopping.Store(true)
	event.Stopping.Log(g.logger, logrus.Fields{})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(g.settings.Bounds.Grace)*graceFraction))
	defer cancel()
	g.control.release(ctx)
	g.awaitIdle(ctx)
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.wg.Wait()
	event.Stopped.Log(g.logger, logrus.Fields{})
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
			if g.inFlight.Load() == 0 && now.Sub(g.stoppingSince()) > shutdownAcceptPeriod+idleCheckInterval {
				return
			}
		}
	}
}
