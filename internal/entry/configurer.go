package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// maxCommitAttempts is the maximum number of attempts to commit a change. An attempt
// is repeated if another change was committed first or if its outcome is unknown.
const maxCommitAttempts = 8

// errTooManyConflicts is returned if maxCommitAttempts attempts did not commit the
// change. Its text names only the usual cause: the outcome of an attempt may also be
// unknown.
var errTooManyConflicts = errors.New("other changes were committed first on every attempt; try again")

// configurer maintains the configuration in force and commits changes to it.
type configurer struct {
	logger   *logrus.Logger
	platform *platform.Client
	health   *platformHealth
	log      *config.Log
	// onChange runs after the configuration in force has changed.
	onChange func()

	refreshMu contextMutex
}

// step applies newer revisions from the platform's table. When the platform is
// reachable, it commits the provisional orders.
func (c *configurer) step(ctx context.Context) {
	if _, err := c.refresh(ctx); err != nil {
		return
	}
	for _, p := range c.log.ProvisionalOrders() {
		_, conflict, err := c.commit(ctx, p.Change)
		if err == nil && conflict == nil {
			event.ProvisionalOrderRecorded.Log(c.logger, logrus.Fields{"kind": p.Change.Kind, "name": p.Change.Name})
		}
	}
}

// acceptProvisional accepts a change as a provisional order: it is in force here and
// is sent to peers before it is in the platform's table. It returns false if the
// change can't be provisional.
func (c *configurer) acceptProvisional(change operator.Change) bool {
	if !config.CanBeProvisional(change) {
		return false
	}
	change.Attempt = newIdentifier()
	change.At = time.Now().UTC()
	change.Base = c.log.Committed().Revision()
	c.log.CreateProvisional(change)
	event.ProvisionalOrderAccepted.Log(c.logger, logrus.Fields{"kind": change.Kind, "name": change.Name})
	c.onChange()
	return true
}

// addProvisionalOrders adds provisional orders received from a peer.
func (c *configurer) addProvisionalOrders(orders []config.ProvisionalOrder) {
	if c.log.AddProvisional(orders) {
		c.onChange()
	}
}

// refresh applies all revisions up to the head in the table, and returns the
// version of the head row, or 0 if the table has none.
func (c *configurer) refresh(ctx context.Context) (int64, error) {
	if !c.refreshMu.lock(ctx) {
		return 0, ctx.Err()
	}
	defer c.refreshMu.unlock()
	row, found, err := c.platform.Get(ctx, config.HeadKey)
	if c.health.record(err) != nil {
		return 0, err
	}
	if !found {
		return 0, nil
	}
	head, err := config.DecodeHead(row)
	if err != nil {
		return 0, err
	}
	if head <= c.log.State().Revision() {
		return row.Version, nil
	}
	c.readSnapshot(ctx, head)
	return row.Version, c.readDeltas(ctx, head)
}

// readSnapshot applies the stored snapshot if the entry is far behind, which avoids
// reading every single change. Failures are not fatal, because readDeltas reads
// whatever is missing.
func (c *configurer) readSnapshot(ctx context.Context, head uint64) {
	if head-c.log.State().Revision() < config.SnapshotInterval {
		return
	}
	body, err := c.platform.GetObject(ctx, config.SnapshotKey)
	if err != nil {
		return // readDeltas reads the single changes instead
	}
	state, err := config.DecodeSnapshot(body)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	if c.log.AdoptSnapshot(state) {
		c.notifyChange()
	}
}

// readDeltas reads and applies the changes up to the head.
func (c *configurer) readDeltas(ctx context.Context, head uint64) error {
	start := config.DeltaKey(c.log.State().Revision() + 1)
	rows, err := c.platform.Between(ctx, start, config.DeltaKey(head+1))
	if c.health.record(err) != nil {
		return err
	}
	encoded := make([][]byte, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, row.Value)
	}
	return c.applyEncoded(encoded)
}

// applyEncoded decodes and applies changes.
func (c *configurer) applyEncoded(encoded [][]byte) error {
	changes, err := config.DecodeChanges(encoded)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return err
	}
	if c.log.ApplyChanges(changes) > 0 {
		c.notifyChange()
	}
	return nil
}

// notifyChange logs the revision in force and calls onChange.
func (c *configurer) notifyChange() {
	event.ConfigApplied.Log(c.logger, logrus.Fields{"revision": c.log.State().Revision()})
	c.onChange()
}

// commit commits the change as the next revision. It returns the accepted change, the
// change that conflicts with it, or an error. After an error, the change may still
// have been committed if the outcome of an attempt is unknown.
func (c *configurer) commit(ctx context.Context, change operator.Change) (accepted operator.Change, conflict *operator.Change, err error) {
	if change.Attempt == "" {
		change.Attempt = newIdentifier()
	}
	for range maxCommitAttempts {
		version, err := c.refresh(ctx)
		if err != nil {
			return operator.Change{}, nil, err
		}
		state := c.log.Committed()
		if written, found := state.LastChange(change.Kind, change.Name); found && written.Attempt == change.Attempt {
			return written, nil, nil // committed by an earlier attempt whose response was lost
		}
		if other, found := state.Conflict(change); found {
			return operator.Change{}, &other, nil
		}
		change.Revision = state.Revision() + 1
		change.At = time.Now().UTC()
		outcome, err := c.platform.Commit(ctx, config.AcceptTransaction(change, version))
		if errors.Is(err, platform.ErrUnavailable) {
			return operator.Change{}, nil, c.health.record(err)
		}
		if err == nil && outcome.Succeeded {
			c.applyAccepted(ctx, change)
			return change, nil, nil
		}
	}
	return operator.Change{}, nil, errTooManyConflicts
}

// applyAccepted applies an accepted change at this entry and stores a snapshot if one
// is due.
func (c *configurer) applyAccepted(ctx context.Context, change operator.Change) {
	if c.log.ApplyChanges([]operator.Change{change}) > 0 {
		c.notifyChange()
	}
	if change.Revision%config.SnapshotInterval == 0 {
		c.storeSnapshot(ctx)
	}
}

// storeSnapshot stores a snapshot, which saves new entries from reading every single
// change. A failure is only logged, because the changes can still be read.
func (c *configurer) storeSnapshot(ctx context.Context) {
	state := c.log.State()
	err := c.platform.PutObject(ctx, config.SnapshotKey, config.EncodeSnapshot(state))
	if err != nil {
		event.SnapshotFailed.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	event.ConfigSnapshot.Log(c.logger, logrus.Fields{"revision": state.Revision()})
}

// handlePull returns the changes after the peer's revision, or a snapshot if this entry
// no longer has all of them.
func (c *configurer) handlePull(p peer.ConfigPull) peer.ConfigReply {
	state := c.log.State()
	if changes, complete := c.log.ChangesAfter(p.After); complete {
		return peer.ConfigReply{Revision: state.Revision(), Changes: config.EncodeChanges(changes)}
	}
	return peer.ConfigReply{
		Revision: state.Revision(), Snapshot: true, Changes: config.EncodeChanges(state.Snapshot()),
	}
}

// applyReply applies the changes or the snapshot from a peer's reply.
func (c *configurer) applyReply(r peer.ConfigReply) {
	if !r.Snapshot {
		_ = c.applyEncoded(r.Changes)
		return
	}
	changes, err := config.DecodeChanges(r.Changes)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	if c.log.AdoptSnapshot(config.Restore(r.Revision, changes)) {
		event.ConfigFromPeer.Log(c.logger, logrus.Fields{"revision": r.Revision})
		c.notifyChange()
	}
}
