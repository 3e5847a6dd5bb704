package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

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

func (s *controlLoop) rowKey(key string) store.RowKey {
	return store.RowKey{Table: controllerTable, Partition: s.gateway.settings.Zone, Key: key}
}

func newAttemptID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// tryAcquire reads the lease and acquires it if it is free.
func (s *controlLoop) tryAcquire(ctx context.Context, now time.Time) {
	row, groups, err := s.readRows(ctx, now)
	s.health.record(err)
	if err != nil {
		return
	}
	s.watcher.Observe(now, []membership.Row{row})
	if row.Version != 0 && row.State == membership.Live {
		if !s.watcher.Expired(row) && !s.heldByPreviousProcess(row) {
			return
		}
		row.Session = membership.Lapse(row, newAttemptID())
	}
	next, ok := s.holder.Opening(row, newAttemptID())
	if !ok {
		return
	}
	sentAt := s.gateway.bootClock()
	version, err := s.commit(ctx, next, row.Version, nil, nil)
	s.health.record(err)
	if err != nil {
		return // another entry won, or the next read shows whether the write took effect
	}
	s.holder.Confirm(next, version, sentAt)
	s.renewedAt = sentAt
	s.controller = formation.NewController(s.gateway.settings.Zone, s.gateway.settings.Zones, next.Epoch,
		s.gateway.settings.Bounds.Broken, groups)
	event.ControllerLeaseAcquired.Log(s.gateway.logger, logrus.Fields{"term": next.Epoch, "groups": len(groups), "row-version": version})
	s.wake()
}

// heldByPreviousProcess reports whether an earlier process on this instance
// holds the lease. That process has ended, because this one listens on its
// address.
func (s *controlLoop) heldByPreviousProcess(row membership.Row) bool {
	g := s.gateway.settings
	return g.PeerAddress != "" && row.Entry == g.Name && row.Address == g.PeerAddress
}

// readRows returns the lease row and the recorded groups.
func (s *controlLoop) readRows(ctx context.Context, now time.Time) (membership.Row, []*formation.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := s.gateway.platform.Store.ReadAll(ctx, controllerTable, s.gateway.settings.Zone)
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
			event.RowInvalid.Log(s.gateway.logger, logrus.Fields{"table": controllerTable, "key": row.Key, "error": err})
		}
	}
	return lease, groups, nil
}

// commit replaces the given version of the lease row, and writes and deletes
// group records in the same transaction.
func (s *controlLoop) commit(ctx context.Context, next membership.Session, version int64, updates []*formation.Group, deletions []registry.GroupID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease := s.rowKey(holderKey)
	t := store.Transaction{
		Conditions: []store.Condition{{RowKey: lease, Version: version}},
		Puts:       []store.Put{{RowKey: lease, Value: membership.Encode(next)}},
	}
	for _, g := range updates {
		t.Puts = append(t.Puts, store.Put{RowKey: s.rowKey(groupPrefix + g.ID.Name), Value: formation.EncodeGroup(g)})
	}
	for _, id := range deletions {
		t.Deletes = append(t.Deletes, s.rowKey(groupPrefix+id.Name))
	}
	return s.gateway.platform.Store.Commit(ctx, t)
}

// renewIfDue renews the lease when the renewal is due, or at once if there are
// groups to record. It reports whether orders may be sent.
func (s *controlLoop) renewIfDue(ctx context.Context, now time.Time, updates []*formation.Group, deletions []registry.GroupID) bool {
	if now.Before(s.retryAt) {
		s.markUnrecorded(updates)
		return true
	}
	if len(updates) == 0 && len(deletions) < deleteBatch && now.Sub(s.renewedAt) < leaseTiming().RenewInterval {
		return true
	}
	next, version, open := s.holder.Renewal(newAttemptID())
	if !open {
		s.loseLease("this entry has no open session")
		return false
	}
	s.renewedAt = now
	sentAt := s.gateway.bootClock()
	written, err := s.commit(ctx, next, version, updates, deletions)
	s.health.record(err)
	if err == nil {
		s.holder.Confirm(next, written, sentAt)
		for _, g := range updates {
			s.controller.HandleRecorded(g.ID, sentAt)
		}
		s.controller.HandleRecordsDeleted(deletions)
		if len(updates) > 0 {
			s.wake() // orders to the members of recorded groups may be sent now
		}
		return true
	}
	s.retryAt = now.Add(writeRetryDelay)
	s.markUnrecorded(updates)
	// The write may have taken effect; read the row to find out.
	row, _, readErr := s.readRows(ctx, now)
	if readErr == nil && !s.holder.Observe(row) {
		s.loseLease("another entry holds the lease: " + row.Incarnation)
		return false
	}
	return true
}

func (s *controlLoop) markUnrecorded(updates []*formation.Group) {
	for _, g := range updates {
		s.controller.HandleRecordFailed(g.ID)
	}
}

func (s *controlLoop) loseLease(reason string) {
	s.controller = nil
	event.ControllerLeaseLost.Log(s.gateway.logger, logrus.Fields{"reason": reason})
}

// release releases the lease to let another entry acquire it at once.
func (s *controlLoop) release(ctx context.Context) {
	s.releasing.Store(true)
	s.wake()
	select {
	case <-s.released:
	case <-ctx.Done():
		s.gateway.logger.Warn("the controller lease was not released in time; it will expire")
	}
}

func (s *controlLoop) releaseLease(ctx context.Context) {
	s.isHolder.Store(false)
	if s.controller == nil {
		return
	}
	s.controller = nil
	next, version, open := s.holder.Closing(newAttemptID())
	if !open {
		return
	}
	if _, err := s.commit(ctx, next, version, nil, nil); err != nil {
		s.gateway.logger.WithError(err).Warn("failed to release the controller lease; it will expire")
	}
}
