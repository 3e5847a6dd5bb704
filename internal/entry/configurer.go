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

// commitTries bounds how often an operator's change is tried again after
// another change came first.
const commitTries = 8

// errRaced means that other operators' changes kept coming first.
var errRaced = errors.New("other changes kept coming first; try again")

// configurer keeps the configuration in force and accepts changes.
type configurer struct {
	logger   *logrus.Logger
	platform *platform.Client
	health   *platformHealth
	log      *config.Log
	// onChange runs after a new revision came into force.
	onChange func()

	refreshMu contextMutex
}

// step reads what the platform's table holds beyond the revision in force.
// With the platform back, it records the provisional orders.
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

// order accepts a change as a provisional order, if it may be one.
func (c *configurer) order(change operator.Change) bool {
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

// addProvisionalOrders takes over provisional orders that a peer knows.
func (c *configurer) addProvisionalOrders(orders []config.ProvisionalOrder) {
	if c.log.AddProvisional(orders) {
		c.onChange()
	}
}

// refresh brings the configuration up to the table's head and returns the
// version of the head's row.
func (c *configurer) refresh(ctx context.Context) (int64, error) {
	if !c.refreshMu.lock(ctx) {
		return 0, ctx.Err()
	}
	defer c.refreshMu.unlock()
	row, found, err := c.platform.Get(ctx, config.HeadKey)
	if c.health.note(err) != nil {
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

// readSnapshot spares a new entry the reading of every single change.
func (c *configurer) readSnapshot(ctx context.Context, head uint64) {
	if head-c.log.State().Revision() < config.SnapshotInterval {
		return
	}
	body, err := c.platform.GetObject(ctx, config.SnapshotKey)
	if err != nil {
		return // the single changes tell the same
	}
	state, err := config.DecodeSnapshot(body)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	if c.log.AdoptSnapshot(state) {
		c.announce()
	}
}

func (c *configurer) readDeltas(ctx context.Context, head uint64) error {
	start := config.DeltaKey(c.log.State().Revision() + 1)
	rows, err := c.platform.Between(ctx, start, config.DeltaKey(head+1))
	if c.health.note(err) != nil {
		return err
	}
	encoded := make([][]byte, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, row.Value)
	}
	return c.offer(encoded)
}

func (c *configurer) offer(encoded [][]byte) error {
	changes, err := config.DecodeChanges(encoded)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return err
	}
	if c.log.ApplyChanges(changes) > 0 {
		c.announce()
	}
	return nil
}

func (c *configurer) announce() {
	event.ConfigApplied.Log(c.logger, logrus.Fields{"revision": c.log.State().Revision()})
	c.onChange()
}

// commit makes the change the next revision. It returns the accepted change,
// or the change that conflicts with it.
func (c *configurer) commit(ctx context.Context, change operator.Change) (accepted operator.Change, conflict *operator.Change, err error) {
	if change.Attempt == "" {
		change.Attempt = newIdentifier()
	}
	for range commitTries {
		version, err := c.refresh(ctx)
		if err != nil {
			return operator.Change{}, nil, err
		}
		state := c.log.Committed()
		if written, found := state.LastChange(change.Kind, change.Name); found && written.Attempt == change.Attempt {
			return written, nil, nil // the answer to an earlier try was lost
		}
		if other, found := state.Conflict(change); found {
			return operator.Change{}, &other, nil
		}
		change.Revision = state.Revision() + 1
		change.At = time.Now().UTC()
		outcome, err := c.platform.Commit(ctx, config.AcceptTransaction(change, version))
		if errors.Is(err, platform.ErrUnavailable) {
			return operator.Change{}, nil, c.health.note(err)
		}
		if err == nil && outcome.Succeeded {
			c.adopt(ctx, change)
			return change, nil, nil
		}
	}
	return operator.Change{}, nil, errRaced
}

// adopt puts an accepted change into force here and stores a snapshot when
// one is due.
func (c *configurer) adopt(ctx context.Context, change operator.Change) {
	if c.log.ApplyChanges([]operator.Change{change}) > 0 {
		c.announce()
	}
	if change.Revision%config.SnapshotInterval == 0 {
		c.storeSnapshot(ctx)
	}
}

// storeSnapshot spares entries that start later the reading of every single
// change. A snapshot that can't be stored costs only that.
func (c *configurer) storeSnapshot(ctx context.Context) {
	state := c.log.State()
	err := c.platform.PutObject(ctx, config.SnapshotKey, config.EncodeSnapshot(state))
	if err != nil {
		event.SnapshotFailed.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	event.ConfigSnapshot.Log(c.logger, logrus.Fields{"revision": state.Revision()})
}

// answerPull answers a peer that is behind.
func (c *configurer) answerPull(p peer.ConfigPull) peer.ConfigReply {
	state := c.log.State()
	if changes, complete := c.log.ChangesAfter(p.After); complete {
		return peer.ConfigReply{Revision: state.Revision(), Changes: config.EncodeChanges(changes)}
	}
	return peer.ConfigReply{
		Revision: state.Revision(), Snapshot: true, Changes: config.EncodeChanges(state.Snapshot()),
	}
}

// applyReply takes over what a peer answered.
func (c *configurer) applyReply(r peer.ConfigReply) {
	if !r.Snapshot {
		_ = c.offer(r.Changes)
		return
	}
	changes, err := config.DecodeChanges(r.Changes)
	if err != nil {
		event.ConfigRejected.Log(c.logger, logrus.Fields{"error": err})
		return
	}
	if c.log.AdoptSnapshot(config.Restore(r.Revision, changes)) {
		event.ConfigFromPeer.Log(c.logger, logrus.Fields{"revision": r.Revision})
		c.announce()
	}
}
