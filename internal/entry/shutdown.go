package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// Shutdown takes no new work, hands the entry's groups over, lets the
// requests in progress finish, and closes the session. It fails when requests
// had to be cut at the shutdown timeout or ctx ended.
func (e *Entry) Shutdown(ctx context.Context) error {
	event.Stopping.Log(e.logger, nil)
	e.stopping.Store(true)
	platformCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = e.groups.handOver(platformCtx) // else the groups are taken over later
	waitCtx, cancelWait := context.WithTimeout(ctx, e.settings.Limits.ShutdownTimeout)
	defer cancelWait()
	err := e.callerListener.shutdown(waitCtx)
	if err != nil {
		event.ShutdownTimedOut.Log(e.logger, nil)
	}
	forwarded := e.waitForwarded(waitCtx)
	_ = e.session.close(context.WithoutCancel(platformCtx)) // else it lapses
	e.Close()
	if err == nil {
		err = forwarded
	}
	return errors.Wrap(err, "requests in progress were cut")
}

// waitForwarded waits for the requests that other entries sent here.
func (e *Entry) waitForwarded(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for e.router.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops the entry at once, as a crash does: the session stays open
// until it lapses, and requests in progress are cut.
func (e *Entry) Close() {
	e.stopping.Store(true)
	e.cancel()
	e.callerListener.closeNow()
	e.operatorListener.closeNow()
	e.peerServer.Close()
	e.peerListener.closeNow()
	e.loops.Wait()
	e.peers.close()
	e.watches.close()
	e.plain.close()
	e.engines.Close()
	e.platform.Close()
	e.peers.client.CloseIdleConnections()
	event.Stopped.Log(e.logger, nil)
}
