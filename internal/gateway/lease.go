package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	holderKey   = "holder"
	groupPrefix = "group/"
)

func (cl *controlLoop) rowKey(key string) store.RowKey {
	return store.RowKey{Table: controllerTable, Partition: cl.gateway.settings.Zone, Key: key}
}

func newAttemptID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// tryAcquire reads the lease and acquires it if it is free, has expired or was
// held by an earlier process of this entry. It then sets cl.controller.
func (cl *controlLoop) tryAcquire(ctx context.Context, now time.Time) {
	row, groups, err := cl.readRows(ctx, now)
	cl.health.record(err)
	if err != nil {
		return
	}
	cl.watcher.Observe(now, cl.gateway.bootClock(), []membership.Row{row})
	if row.Version != 0 && row.State == membership.Live {
		if !cl.watcher.Expired(row) && !cl.heldByPreviousProcess(row) {
			return
		}
		row.Session = membership.Lapse(row, newAttemptID())
	}
	next, ok := cl.holder.Opening(row, newAttemptID())
	if !ok {
		return
	}
	sentAt := cl.gateway.bootClock()
	version, err := cl.commit(ctx, next, row.Version, nil, nil)
	cl.health.record(err)
	if err != nil {
		return // another entry won, or the next read shows whether the write took effect
	}
	cl.holder.Confirm(next, version, sentAt)
	cl.renewedAt = sentAt
	cl.controller = formation.NewController(cl.gateway.settings.Zone, cl.gateway.settings.Zones, next.Epoch,
		cl.gateway.settings.Bounds.BrokenAfter, groups)
	cl.controller.IgnoreViewsBefore(sentAt)
	cl.controller.SetDrainTime(cl.gateway.settings.Bounds.Drain)
	event.ControllerLeaseAcquired.Log(cl.gateway.logger, logrus.Fields{"term": next.Epoch, "groups": len(groups), "row-version": version})
	cl.wake()
}

// heldByPreviousProcess reports whether an earlier process on this instance
// holds the lease. That process has ended, because this one listens on its
// address.
func (cl *controlLoop) heldByPreviousProcess(row membership.Row) bool {
	g := cl.gateway.settings
	return g.PeerAddress != "" && row.Entry == g.Name && row.Address == g.PeerAddress
}

// readRows returns the lease row and the recorded groups. The lease row has
// version 0 if there is none. Rows that can't be decoded are logged and left
// out.
func (cl *controlLoop) readRows(ctx context.Context, now time.Time) (membership.Row, []*formation.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := cl.gateway.platform.Store.ReadAll(ctx, controllerTable, cl.gateway.settings.Zone)
	if err != nil {
		return membership.Row{}, nil, err
	}
	var lease membership.Row
	var groups []*formation.Group
	for _, row := range page.Rows {
		var err error
		if row.Key == holderKey {
			lease, err = decodeSession(row)
		} else {
			var g *formation.Group
			if g, err = formation.DecodeGroup(row.Value, now); err == nil {
				groups = append(groups, g)
			}
		}
		if err != nil {
			event.RowInvalid.Log(cl.gateway.logger, logrus.Fields{"table": controllerTable, "key": row.Key, "error": err})
		}
	}
	return lease, groups, nil
}

// commit replaces the given version of the lease row, and writes and deletes
// group records in the same transaction. It returns the new version of the lease
// row, or store.ErrConflict if the row has another version than the given one.
func (cl *controlLoop) commit(ctx context.Context, next membership.Session, version int64, updates []*formation.Group, deletions []registry.GroupID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease := cl.rowKey(holderKey)
	t := store.Transaction{
		Conditions: []store.Condition{{RowKey: lease, Version: version}},
		Puts:       []store.Put{{RowKey: lease, Value: membership.Encode(next)}},
	}
	for _, g := range updates {
		t.Puts = append(t.Puts, store.Put{RowKey: cl.rowKey(groupPrefix + g.ID.Name), Value: formation.EncodeGroup(g)})
	}
	for _, id := range deletions {
		t.Deletes = append(t.Deletes, cl.rowKey(groupPrefix+id.Name))
	}
	return cl.gateway.platform.Store.Commit(ctx, t)
}

// renewIfDue renews the lease when the renewal is due, or at once if there are
// groups to record or at least deleteBatch records to delete. After a failed
// write it writes nothing until cl.retryAt. The controller drops the groups that
// were not recorded. If the store rejects the records, the next write renews the
// lease alone. renewIfDue returns false if the lease is lost; otherwise the caller
// must still check that the lease is valid before it sends orders.
func (cl *controlLoop) renewIfDue(ctx context.Context, now time.Time, updates []*formation.Group, deletions []registry.GroupID) bool {
	if now.Before(cl.retryAt) {
		cl.markUnrecorded(updates)
		return true
	}
	if cl.recordsRejected {
		cl.markUnrecorded(updates)
		updates, deletions = nil, nil
	}
	if len(updates) == 0 && len(deletions) < deleteBatch && !cl.recordsRejected && now.Sub(cl.renewedAt) < leaseTiming().RenewInterval {
		return true
	}
	next, version, open := cl.holder.Renewal(newAttemptID())
	if !open {
		cl.loseLease("this entry has no open session")
		return false
	}
	cl.renewedAt = now
	sentAt := cl.gateway.bootClock()
	written, err := cl.commit(ctx, next, version, updates, deletions)
	cl.health.record(err)
	cl.recordsRejected = errors.Is(err, store.ErrRejected) && len(updates)+len(deletions) > 0
	if err == nil {
		cl.holder.Confirm(next, written, sentAt)
		for _, g := range updates {
			cl.controller.HandleRecorded(g.ID, sentAt)
		}
		cl.controller.HandleRecordsDeleted(deletions)
		if len(updates) > 0 {
			cl.wake() // orders to the members of recorded groups may be sent now
		}
		return true
	}
	cl.retryAt = now.Add(writeRetryDelay)
	cl.markUnrecorded(updates)
	// The write may have taken effect; read the row to find out.
	row, _, readErr := cl.readRows(ctx, now)
	if readErr == nil && !cl.holder.Observe(row) {
		cl.loseLease("another entry holds the lease: " + row.Incarnation)
		return false
	}
	return true
}

// markUnrecorded makes the controller drop groups that were not recorded.
func (cl *controlLoop) markUnrecorded(updates []*formation.Group) {
	for _, g := range updates {
		cl.controller.HandleRecordFailed(g.ID)
	}
}

func (cl *controlLoop) loseLease(reason string) {
	cl.controller = nil
	event.ControllerLeaseLost.Log(cl.gateway.logger, logrus.Fields{"reason": reason})
}

// release makes the loop release the lease once its orders have ended, and end, to
// let another entry acquire the lease at once. It returns when that is done or ctx ends.
func (cl *controlLoop) release(ctx context.Context) {
	cl.releasing.Store(true)
	cl.wake()
	select {
	case <-cl.released:
	case <-ctx.Done():
		cl.gateway.logger.Warn("the controller lease was not released in time; it will expire")
	}
}

func (cl *controlLoop) releaseLease(ctx context.Context) {
	cl.isHolder.Store(false)
	if cl.controller == nil {
		return
	}
	cl.controller = nil
	// The next controller may send orders at once.
	cl.ordersInFlight.Wait()
	next, version, open := cl.holder.Closing(newAttemptID())
	if !open {
		return
	}
	if _, err := cl.commit(ctx, next, version, nil, nil); err != nil {
		cl.gateway.logger.WithError(err).Warn("failed to release the controller lease; it will expire")
	}
}
