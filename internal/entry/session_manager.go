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

// relayTimeout bounds a write on behalf of a peer. It is shorter than the peer
// package's callTimeout, after which the requesting peer closes the connection.
const relayTimeout = time.Second

// sessionManager opens, renews and closes the entry's session.
type sessionManager struct {
	logger   *logrus.Logger
	platform *platform.Client
	health   *platformHealth
	holder   *membership.Holder
	timing   membership.Timing
	identity membership.Session
	// relay sends a session write through a peer of the zone. It returns false
	// if no peer reached the platform.
	relay func(ctx context.Context, r peer.Relay) (peer.RelayReply, bool)

	stepMu contextMutex
	// closing is set by close and prevents the loop from opening a new session.
	closing bool
}

// step renews the session, or opens one if none is open.
func (m *sessionManager) step(ctx context.Context) {
	if !m.stepMu.lock(ctx) {
		return
	}
	defer m.stepMu.unlock()
	if m.closing {
		return
	}
	next, version, isOpen := m.holder.Renewal(newIdentifier())
	if !isOpen {
		m.open(ctx)
		return
	}
	m.renew(ctx, next, version)
}

// open opens a session, unless the table still holds a live session of this entry.
func (m *sessionManager) open(ctx context.Context) {
	row, err := m.read(ctx)
	if err != nil {
		return
	}
	next, allowed := m.holder.Opening(row, newIdentifier())
	if !allowed {
		return // the live session, for example of an earlier incarnation, must be marked as lapsed first
	}
	sentAt := time.Now()
	outcome, err := m.platform.Commit(ctx, membership.WriteTransaction(next, row.Version))
	if m.health.record(err) != nil || !outcome.Succeeded {
		return
	}
	m.holder.Confirm(next, outcome.Version, sentAt)
	event.SessionOpened.Log(m.logger, logrus.Fields{"epoch": next.Epoch})
}

// read reads the entry's session row. The row is empty if there is none.
func (m *sessionManager) read(ctx context.Context) (membership.Row, error) {
	row, found, err := m.platform.Get(ctx, membership.Key(m.identity.Zone, m.identity.Entry))
	if m.health.record(err) != nil || !found {
		return membership.Row{}, err
	}
	return membership.Decode(row)
}

// renew renews the session directly, or through a peer if the platform can't be
// reached.
func (m *sessionManager) renew(ctx context.Context, next membership.Session, version int64) {
	sentAt := time.Now()
	outcome, err := m.platform.Commit(ctx, membership.WriteTransaction(next, version))
	if m.health.record(err) != nil {
		m.renewThroughPeer(ctx, next, version)
		return
	}
	if outcome.Succeeded {
		m.holder.Confirm(next, outcome.Version, sentAt)
		return
	}
	m.observeRow(ctx)
}

// observeRow reads the session row after a write that failed because the row's
// version had changed. If the row is still that of this session, the holder adopts
// its version. Otherwise the session is lost.
func (m *sessionManager) observeRow(ctx context.Context) {
	row, err := m.read(ctx)
	if err != nil {
		return
	}
	if !m.holder.Observe(row) {
		event.SessionLost.Log(m.logger, logrus.Fields{"state": row.State})
	}
}

// renewThroughPeer renews the session through a peer of the zone. If no peer
// reaches the platform or the row's version has changed, the session is not renewed.
func (m *sessionManager) renewThroughPeer(ctx context.Context, next membership.Session, version int64) {
	write := membership.WriteTransaction(next, version).Puts[0]
	sentAt := time.Now()
	reply, ok := m.relay(ctx, peer.Relay{Key: write.Key, Value: write.Value, Version: version})
	if !ok || !reply.Succeeded {
		return
	}
	m.holder.Confirm(next, reply.Version, sentAt)
	event.SessionRelayed.Log(m.logger, nil)
}

// handleRelay writes a session row on behalf of a peer.
func (m *sessionManager) handleRelay(ctx context.Context, r peer.Relay) peer.RelayReply {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	outcome, err := m.platform.Commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: r.Key, Version: r.Version}},
		Puts:     []platform.Put{{Key: r.Key, Value: r.Value}},
	})
	if m.health.record(err) != nil {
		return peer.RelayReply{}
	}
	return peer.RelayReply{PlatformReached: true, Succeeded: outcome.Succeeded, Version: outcome.Version}
}

// close tries to close the session in the table, so other entries need not wait
// for it to expire. No session is opened afterwards. It does not check whether the
// write failed because the row's version had changed: it then returns nil as well,
// and the holder records the session as closed.
func (m *sessionManager) close(ctx context.Context) error {
	if !m.stepMu.lock(ctx) {
		return ctx.Err()
	}
	defer m.stepMu.unlock()
	m.closing = true
	next, version, isOpen := m.holder.Closing(newIdentifier())
	if !isOpen {
		return nil
	}
	outcome, err := m.platform.Commit(ctx, membership.WriteTransaction(next, version))
	if m.health.record(err) != nil {
		return errors.Wrap(err, "close the session")
	}
	m.holder.Confirm(next, outcome.Version, time.Now())
	return nil
}
