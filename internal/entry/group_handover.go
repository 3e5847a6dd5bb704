package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// handOver transfers all owned groups to other live entries of the zone in one
// transaction. The entry then forms, repairs and takes over no groups any more, also
// if the transaction fails. handOver returns nil if there is nothing to transfer, and
// the error of ctx if ctx ends before the current reconciliation.
func (r *groupReconciler) handOver(ctx context.Context) error {
	if !r.stepMu.lock(ctx) {
		return ctx.Err()
	}
	defer r.stepMu.unlock()
	r.handingOver = true
	r.views.refresh(ctx)
	txn, handedOver := r.handOverTransaction()
	if len(handedOver) == 0 {
		return nil
	}
	if !r.commit(ctx, txn) {
		return errors.New("hand over the groups: the transaction failed; other entries take them over when the session ends")
	}
	r.watches.sync(time.Now())
	for _, g := range handedOver {
		event.GroupHandedOver.Log(r.logger, logrus.Fields{"group": g.Name, "to": g.Owner.Entry})
	}
	return nil
}

// handOverTransaction returns the transaction that transfers all owned groups, and
// the groups with their new owners. Both are empty if the zone has no other live
// entry.
func (r *groupReconciler) handOverTransaction() (platform.Transaction, []grouping.Group) {
	var txn platform.Transaction
	var handedOver []grouping.Group
	view := r.views.current()
	for _, row := range view.Groups {
		successor, found := r.successor(view, row.Name)
		if row.Owner != r.self() || !found {
			continue
		}
		next := row.Group
		next.Owner = successor
		next.Attempt = newIdentifier()
		key := grouping.GroupKey(r.zone, row.Name)
		txn.Compares = append(txn.Compares, platform.Compare{Key: key, Version: row.Version})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: grouping.EncodeGroup(next)})
		handedOver = append(handedOver, next)
	}
	return txn, handedOver
}

// successor returns the session of the entry that rendezvous hashing selects for the
// group among the zone's other live entries. It returns false if there is none.
func (r *groupReconciler) successor(view *grouping.View, group string) (grouping.Owner, bool) {
	for _, entry := range routing.Rendezvous(group, view.LiveEntries()) {
		if entry != r.self().Entry {
			return grouping.Owner{Entry: entry, Epoch: view.Sessions[entry].Epoch}, true
		}
	}
	return grouping.Owner{}, false
}
