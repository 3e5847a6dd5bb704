package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// relayTimeout bounds a write on behalf of a peer. It is below the time that a
// peer waits for an answer before it replaces the connection.
const relayTimeout = time.Second

// sessionManager opens, renews and closes the entry's session.
type sessionManager struct {
	logger   *logrus.Logger
	platform *platform.Client
	health   *platformHealth
	holder   *membership.Holder
	timing   membership.Timing
	identity membership.Session
	// relay sends a session write through a peer of the zone.
	relay func(ctx context.Context, r peer.Relay) (peer.RelayReply, bool)

	stepMu contextMutex
	// closing keeps the loop from opening a new session.
	closing bool
}

// step renews the session, or opens one.
func (k *sessionManager) step(ctx context.Context) {
	if !k.stepMu.lock(ctx) {
		return
	}
	defer k.stepMu.unlock()
	if k.closing {
		return
	}
	next, version, open := k.holder.Renewal(newIdentifier())
	if !open {
		k.open(ctx)
		return
	}
	k.renew(ctx, next, version)
}

func (k *sessionManager) open(ctx context.Context) {
	row, err := k.read(ctx)
	if err != nil {
		return
	}
	next, free := k.holder.Opening(row, newIdentifier())
	if !free {
		return // the silent session of an earlier run lapses first
	}
	sentAt := time.Now()
	outcome, err := k.platform.Commit(ctx, membership.WriteTransaction(next, row.Version))
	if k.health.note(err) != nil || !outcome.Succeeded {
		return
	}
	k.holder.Confirm(next, outcome.Version, sentAt)
	event.SessionOpened.Log(k.logger, logrus.Fields{"epoch": next.Epoch})
}

func (k *sessionManager) read(ctx context.Context) (membership.Row, error) {
	row, found, err := k.platform.Get(ctx, membership.Key(k.identity.Zone, k.identity.Entry))
	if k.health.note(err) != nil || !found {
		return membership.Row{}, err
	}
	return membership.Decode(row)
}

func (k *sessionManager) renew(ctx context.Context, next membership.Session, version int64) {
	sentAt := time.Now()
	outcome, err := k.platform.Commit(ctx, membership.WriteTransaction(next, version))
	if k.health.note(err) != nil {
		k.renewThroughPeer(ctx, next, version)
		return
	}
	if outcome.Succeeded {
		k.holder.Confirm(next, outcome.Version, sentAt)
		return
	}
	k.reconcile(ctx)
}

// reconcile reads the row after a write that found another version.
func (k *sessionManager) reconcile(ctx context.Context) {
	row, err := k.read(ctx)
	if err != nil {
		return
	}
	if !k.holder.Observe(row) {
		event.SessionLost.Log(k.logger, logrus.Fields{"state": row.State})
	}
}

func (k *sessionManager) renewThroughPeer(ctx context.Context, next membership.Session, version int64) {
	write := membership.WriteTransaction(next, version).Puts[0]
	sentAt := time.Now()
	reply, ok := k.relay(ctx, peer.Relay{Key: write.Key, Value: write.Value, Version: version})
	if !ok || !reply.Succeeded {
		return
	}
	k.holder.Confirm(next, reply.Version, sentAt)
	event.SessionRelayed.Log(k.logger, nil)
}

// answerRelay writes a session row on behalf of a peer.
func (k *sessionManager) answerRelay(ctx context.Context, r peer.Relay) peer.RelayReply {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	outcome, err := k.platform.Commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: r.Key, Version: r.Version}},
		Puts:     []platform.Put{{Key: r.Key, Value: r.Value}},
	})
	if k.health.note(err) != nil {
		return peer.RelayReply{}
	}
	return peer.RelayReply{PlatformReached: true, Succeeded: outcome.Succeeded, Version: outcome.Version}
}

// close gives the session up, so that nobody has to wait for it to lapse.
func (k *sessionManager) close(ctx context.Context) error {
	if !k.stepMu.lock(ctx) {
		return ctx.Err()
	}
	defer k.stepMu.unlock()
	k.closing = true
	next, version, open := k.holder.Closing(newIdentifier())
	if !open {
		return nil
	}
	outcome, err := k.platform.Commit(ctx, membership.WriteTransaction(next, version))
	if k.health.note(err) != nil {
		return errors.Wrap(err, "close the session")
	}
	k.holder.Confirm(next, outcome.Version, time.Now())
	return nil
}
