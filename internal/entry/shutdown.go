package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// Shutdown stops accepting requests, hands over the entry's groups, waits for
// in-flight requests, closes the session, and then calls Close. It returns an
// error if requests were cut off because the shutdown timeout passed or ctx ended.
// Only the platform client's timeout limits closing the session.
func (e *Entry) Shutdown(ctx context.Context) error {
	event.Stopping.Log(e.logger, nil)
	e.stopping.Store(true)
	platformCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = e.groups.handOver(platformCtx) // on failure, other entries take over later
	waitCtx, cancelWait := context.WithTimeout(ctx, e.settings.Limits.ShutdownTimeout)
	defer cancelWait()
	err := e.callerListener.shutdown(waitCtx)
	if err != nil {
		event.ShutdownTimedOut.Log(e.logger, nil)
	}
	forwarded := e.waitForwarded(waitCtx)
	_ = e.session.close(context.WithoutCancel(platformCtx)) // on failure, the session lapses
	e.Close()
	if err == nil {
		err = forwarded
	}
	return errors.Wrap(err, "requests in flight were cut off")
}

// waitForwarded waits until no request is in flight, and returns the error of ctx
// if ctx ends first. Requests forwarded by other entries arrive on the peer
// listener, which stays open for them.
func (e *Entry) waitForwarded(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for e.router.hasInFlight() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops the entry without the steps of Shutdown, like a crash: an open
// session stays open until it lapses, and in-flight requests are cut off.
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
