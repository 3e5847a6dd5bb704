package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
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

// controlRows are the rows of a zone's controller.
type controlRows struct {
	// lease has version 0 if there is no such row.
	lease  membership.Row
	groups []*formation.Group
	// version is that of the store.
	version int64
}

// termEpochBits is the number of bits of a term that hold the lease's epoch. The store can
// give out an epoch again after it has come back from an older copy, so its era goes before.
const termEpochBits = 20

func term(version int64, epoch uint64) uint64 {
	return uint64(store.Era(version))<<termEpochBits + epoch
}

// observeEra records the era of rows that were read, and reports whether the store has
// come back from an older copy since the last ones.
func (cl *controlLoop) observeEra(now time.Time, version int64) bool {
	era := store.Era(version)
	if era <= cl.era {
		return false
	}
	restored := cl.era >= 0
	cl.era, cl.eraSince = era, now
	return restored
}

// leaseSettled reports whether a lease that was acquired before the store came back from an
// older copy, and that this copy doesn't have, has ended.
func (cl *controlLoop) leaseSettled(now time.Time) bool {
	timing := leaseTiming()
	return cl.era <= 0 || now.Sub(cl.eraSince) >= timing.Term+timing.Grace
}

func newAttemptID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// tryAcquire reads the lease and acquires it if it is free, has expired or was
// held by an earlier process of this entry. It then sets cl.controller.
func (cl *controlLoop) tryAcquire(ctx context.Context, now time.Time) {
	rows, err := cl.readRows(ctx, now)
	cl.health.record(err)
	if err != nil {
		return
	}
	row := rows.lease
	cl.watcher.Observe(now, cl.gateway.bootClock(), []membership.Row{row})
	cl.observeEra(now, rows.version)
	if !cl.acquirable(now, row) {
		return
	}
	if row.State == membership.Live {
		row.Session = membership.Lapse(row, newAttemptID())
	}
	next, ok := cl.holder.Opening(row, newAttemptID())
	if !ok {
		return
	}
	next.Era = store.Era(rows.version)
	sentAt := cl.gateway.bootClock()
	version, err := cl.commit(ctx, next, leaseCondition{version: row.Version, readAt: rows.version}, nil, nil)
	cl.health.record(err)
	if err != nil {
		return // another entry won, or the next read shows whether the write took effect
	}
	cl.holder.Confirm(next, version, sentAt)
	cl.renewedAt = sentAt
	cl.controller = formation.NewController(cl.gateway.settings.Zone, cl.gateway.settings.Zones, term(version, next.Epoch),
		cl.gateway.settings.Bounds.BrokenAfter, rows.groups)
	cl.controller.IgnoreViewsBefore(sentAt)
	cl.controller.SetDrainTime(cl.gateway.settings.Bounds.Drain)
	event.ControllerLeaseAcquired.Log(cl.gateway.logger, logrus.Fields{"term": term(version, next.Epoch), "groups": len(rows.groups), "row-version": version})
	cl.wake()
}

// acquirable reports whether nobody acts on the lease any more. A row of an earlier era is
// either the copy's, or its write took effect late and may have replaced the lease of
// another entry, which acts until its term ends.
func (cl *controlLoop) acquirable(now time.Time, row membership.Row) bool {
	current := row.Version != 0 && row.Era == store.Era(row.Version)
	if current && (row.State != membership.Live || cl.heldByPreviousProcess(row)) {
		return true
	}
	return (current || cl.leaseSettled(now)) && (row.Version == 0 || cl.watcher.Unchanged(row))
}

// heldByPreviousProcess reports whether an earlier process on this instance
// holds the lease. That process has ended, because this one listens on its
// address.
func (cl *controlLoop) heldByPreviousProcess(row membership.Row) bool {
	g := cl.gateway.settings
	return g.PeerAddress != "" && row.Entry == g.Name && row.Address == g.PeerAddress
}

// readRows returns the lease row and the recorded groups. Rows that can't be decoded are
// logged and left out.
func (cl *controlLoop) readRows(ctx context.Context, now time.Time) (controlRows, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := cl.gateway.platform.Store.ReadAll(ctx, controllerTable, cl.gateway.settings.Zone)
	if err != nil {
		return controlRows{}, err
	}
	rows := controlRows{version: page.Version}
	for _, row := range page.Rows {
		var err error
		if row.Key == holderKey {
			rows.lease, err = decodeSession(row)
		} else {
			var g *formation.Group
			if g, err = formation.DecodeGroup(row.Value, now); err == nil {
				rows.groups = append(rows.groups, g)
			}
		}
		if err != nil {
			event.RowInvalid.Log(cl.gateway.logger, logrus.Fields{"table": controllerTable, "key": row.Key, "error": err})
		}
	}
	return rows, nil
}

// leaseCondition is the version that the lease row must have, and the version of the store
// at which that was learned, which is only needed if there must be no row.
type leaseCondition struct{ version, readAt int64 }

// commit replaces the lease row that meets the condition, and writes and deletes
// group records in the same transaction. It returns the new version of the lease
// row, or store.ErrConflict if the row has another version than the given one.
func (cl *controlLoop) commit(ctx context.Context, next membership.Session, c leaseCondition, updates []*formation.Group, deletions []registry.GroupID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease := cl.rowKey(holderKey)
	t := store.Transaction{
		Conditions: []store.Condition{{RowKey: lease, Version: c.version}}, ReadAt: c.readAt,
		Puts: []store.Put{{RowKey: lease, Value: membership.Encode(next)}},
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
// groups to record or at least deleteBatch records to delete. Records that the store may
// have lost are written when there are no others. After a failed write it writes nothing
// until cl.retryAt. The controller drops the groups that were not recorded. If the store
// rejects the records, the next write renews the lease alone. renewIfDue returns false if
// the lease is lost; otherwise the caller must still check that the lease is valid before
// it sends orders.
func (cl *controlLoop) renewIfDue(ctx context.Context, now time.Time, updates []*formation.Group, deletions []registry.GroupID) bool {
	if now.Before(cl.retryAt) {
		cl.markUnrecorded(updates)
		return true
	}
	if cl.recordsRejected {
		cl.markUnrecorded(updates)
		updates, deletions = nil, nil
	}
	cl.lostRecords = slices.DeleteFunc(cl.lostRecords, func(g *formation.Group) bool { return g.Phase == formation.Ended })
	var again []*formation.Group
	if len(updates)+len(deletions) == 0 && !cl.recordsRejected {
		again = cl.lostRecords[:min(len(cl.lostRecords), formation.MaxRecordChanges)]
	}
	if len(updates)+len(again) == 0 && len(deletions) < deleteBatch && !cl.recordsRejected && now.Sub(cl.renewedAt) < leaseTiming().RenewInterval {
		return true
	}
	next, version, open := cl.holder.Renewal(newAttemptID())
	if !open {
		cl.loseLease("this entry has no open session")
		return false
	}
	next.Era = store.Era(version)
	cl.renewedAt = now
	sentAt := cl.gateway.bootClock()
	written, err := cl.commit(ctx, next, leaseCondition{version: version}, slices.Concat(updates, again), deletions)
	cl.health.record(err)
	cl.recordsRejected = errors.Is(err, store.ErrRejected) && len(updates)+len(again)+len(deletions) > 0
	if err == nil {
		cl.holder.Confirm(next, written, sentAt)
		for _, g := range updates {
			cl.controller.HandleRecorded(g.ID, sentAt)
		}
		cl.controller.HandleRecordsDeleted(deletions)
		cl.lostRecords = cl.lostRecords[len(again):]
		if len(updates) > 0 {
			cl.wake() // orders to the members of recorded groups may be sent now
		}
		return true
	}
	cl.retryAt = now.Add(writeRetryDelay)
	cl.markUnrecorded(updates)
	if errors.Is(err, store.ErrRestored) {
		// The write may have replaced the lease that another entry holds by now.
		cl.loseLease("the store came back from an older copy during a renewal")
		return false
	}
	// The write may have taken effect; read the row to find out.
	rows, readErr := cl.readRows(ctx, now)
	if readErr != nil {
		return true
	}
	restored := cl.observeEra(now, rows.version)
	if !cl.holder.Observe(rows.lease) {
		cl.loseLease("another entry holds the lease: " + rows.lease.Incarnation)
		return false
	}
	if store.Era(rows.lease.Version) > store.Era(version) && !cl.holder.ValidFor(cl.gateway.bootClock(), 0) {
		// The row may be of a write that took effect late, and replaced another entry's lease.
		cl.loseLease("the store came back from an older copy after the term had ended")
		return false
	}
	if restored {
		cl.lostRecords = cl.controller.HandleRestored(rows.groups)
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
	cl.controller, cl.lostRecords = nil, nil
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
	next.Era = store.Era(version)
	if _, err := cl.commit(ctx, next, leaseCondition{version: version}, nil, nil); err != nil {
		cl.gateway.logger.WithError(err).Warn("failed to release the controller lease; it will expire")
	}
}
