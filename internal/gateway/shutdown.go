package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

func (g *Gateway) stopBegan() time.Time { return time.Unix(0, g.stoppedAt.Load()) }

// Shutdown takes the entry out of rotation, goes on serving open connections
// while callers use them, and ends within the grace time.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.stoppedAt.Store(time.Now().UnixNano())
	g.stopping.Store(true)
	event.Stopping.Log(g.logger, logrus.Fields{})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(g.settings.Bounds.Grace)*graceUsed))
	defer cancel()
	g.steward.resign(ctx)
	g.awaitIdle(ctx)
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.wg.Wait()
	event.Stopped.Log(g.logger, logrus.Fields{})
}

// awaitIdle returns once no request is served and none would be, or when ctx
// ends.
func (g *Gateway) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			event.ShutdownTimedOut.Log(g.logger, logrus.Fields{"requests": g.inFlight.Load()})
			return
		case now := <-ticker.C:
			if g.inFlight.Load() == 0 && now.Sub(g.stopBegan()) > serveWhileStopping+idleCheck {
				return
			}
		}
	}
}
