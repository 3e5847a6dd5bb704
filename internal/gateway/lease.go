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

func (s *stewardship) rowKey(key string) store.RowKey {
	return store.RowKey{Table: stewardTable, Partition: s.gateway.settings.Zone, Key: key}
}

func attempt() string { return strconv.FormatUint(rand.Uint64(), 36) }

// contend looks at the lease and takes it when it is free.
func (s *stewardship) contend(ctx context.Context, now time.Time) {
	row, groups, err := s.readRows(ctx, now)
	s.rows.note(err)
	if err != nil {
		return
	}
	s.watcher.Observe(now, []membership.Row{row})
	if row.Version != 0 && row.State == membership.Live {
		if !s.watcher.Expired(row) && !s.ownBefore(row) {
			return
		}
		row.Session = membership.Lapse(row, attempt())
	}
	next, ok := s.holder.Opening(row, attempt())
	if !ok {
		return
	}
	sentAt := s.gateway.bootClock()
	version, err := s.commit(ctx, next, row.Version, nil, nil)
	s.rows.note(err)
	if err != nil {
		return // another entry was faster, or the next attempt finds what became of it
	}
	s.holder.Confirm(next, version, sentAt)
	s.renewedAt = sentAt
	s.steward = formation.NewController(s.gateway.settings.Zone, s.gateway.settings.Zones, next.Epoch,
		s.gateway.settings.Bounds.Broken, groups)
	event.StewardTook.Log(s.gateway.logger, logrus.Fields{"term": next.Epoch, "groups": len(groups), "row-version": version})
	s.kick()
}

// ownBefore reports whether an earlier process of this machine holds the lease:
// it has ended, since this one has its address.
func (s *stewardship) ownBefore(row membership.Row) bool {
	g := s.gateway.settings
	return g.PeerAddress != "" && row.Entry == g.Name && row.Address == g.PeerAddress
}

// readRows returns the lease's row and the recorded groups.
func (s *stewardship) readRows(ctx context.Context, now time.Time) (membership.Row, []*formation.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := s.gateway.platform.Store.ReadAll(ctx, stewardTable, s.gateway.settings.Zone)
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
			event.RowUnreadable.Log(s.gateway.logger, logrus.Fields{"table": stewardTable, "key": row.Key, "error": err})
		}
	}
	return lease, groups, nil
}

// commit writes the lease's row over the version, with records of groups.
func (s *stewardship) commit(ctx context.Context, next membership.Session, version int64, record []*formation.Group, forget []registry.GroupID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease := s.rowKey(holderKey)
	t := store.Transaction{
		Conditions: []store.Condition{{RowKey: lease, Version: version}},
		Puts:       []store.Put{{RowKey: lease, Value: membership.Encode(next)}},
	}
	for _, g := range record {
		t.Puts = append(t.Puts, store.Put{RowKey: s.rowKey(groupPrefix + g.ID.Name), Value: formation.EncodeGroup(g)})
	}
	for _, id := range forget {
		t.Deletes = append(t.Deletes, s.rowKey(groupPrefix+id.Name))
	}
	return s.gateway.platform.Store.Commit(ctx, t)
}

// renewIfDue renews the lease at its interval, or at once where groups are to
// be recorded. It reports whether orders may be given.
func (s *stewardship) renewIfDue(ctx context.Context, now time.Time, record []*formation.Group, forget []registry.GroupID) bool {
	if now.Before(s.retryAt) {
		s.unrecorded(record)
		return true
	}
	if len(record) == 0 && len(forget) < forgetBatch && now.Sub(s.renewedAt) < stewardTiming().RenewInterval {
		return true
	}
	next, version, open := s.holder.Renewal(attempt())
	if !open {
		s.lose("the lease is not open")
		return false
	}
	s.renewedAt = now
	sentAt := s.gateway.bootClock()
	written, err := s.commit(ctx, next, version, record, forget)
	s.rows.note(err)
	if err == nil {
		s.holder.Confirm(next, written, sentAt)
		for _, g := range record {
			s.steward.HandleRecorded(g.ID, sentAt)
		}
		s.steward.HandleRecordsDeleted(forget)
		if len(record) > 0 {
			s.kick() // their members get orders now
		}
		return true
	}
	s.retryAt = now.Add(retryWrite)
	s.unrecorded(record)
	// The write may have taken effect; the row tells.
	row, _, readErr := s.readRows(ctx, now)
	if readErr == nil && !s.holder.Observe(row) {
		s.lose("another entry holds the lease: " + row.Incarnation)
		return false
	}
	return true
}

func (s *stewardship) unrecorded(record []*formation.Group) {
	for _, g := range record {
		s.steward.HandleRecordFailed(g.ID)
	}
}

func (s *stewardship) lose(reason string) {
	s.steward = nil
	event.StewardLost.Log(s.gateway.logger, logrus.Fields{"reason": reason})
}

// resign gives the lease up, so that another entry takes it at once.
func (s *stewardship) resign(ctx context.Context) {
	s.resigning.Store(true)
	s.kick()
	select {
	case <-s.resigned:
	case <-ctx.Done():
		s.gateway.logger.Warn("the lease was not given up in time; it lapses")
	}
}

func (s *stewardship) giveUp(ctx context.Context) {
	s.leads.Store(false)
	if s.steward == nil {
		return
	}
	s.steward = nil
	next, version, open := s.holder.Closing(attempt())
	if !open {
		return
	}
	if _, err := s.commit(ctx, next, version, nil, nil); err != nil {
		s.gateway.logger.WithError(err).Warn("the lease was not given up; it lapses")
	}
}
