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

// handOver gives all owned groups to other entries of the zone, in one
// transaction, and forms or takes over no more.
func (k *groupReconciler) handOver(ctx context.Context) error {
	if !k.stepMu.lock(ctx) {
		return ctx.Err()
	}
	defer k.stepMu.unlock()
	k.leaving = true
	k.views.refresh(ctx)
	txn, given := k.handOverTransaction()
	if len(given) == 0 {
		return nil
	}
	if !k.commit(ctx, txn) {
		return errors.New("the groups could not be handed over; they will be taken over")
	}
	k.watches.follow(time.Now())
	for _, g := range given {
		event.GroupHandedOver.Log(k.logger, logrus.Fields{"group": g.Name, "to": g.Owner.Entry})
	}
	return nil
}

func (k *groupReconciler) handOverTransaction() (platform.Transaction, []grouping.Group) {
	var txn platform.Transaction
	var given []grouping.Group
	view := k.views.current()
	for _, row := range view.Groups {
		heir, found := k.heir(view, row.Name)
		if row.Owner != k.owner() || !found {
			continue
		}
		next := row.Group
		next.Owner = heir
		next.Attempt = newIdentifier()
		key := grouping.GroupKey(k.zone, row.Name)
		txn.Compares = append(txn.Compares, platform.Compare{Key: key, Version: row.Version})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: grouping.EncodeGroup(next)})
		given = append(given, next)
	}
	return txn, given
}

// heir returns the session of the entry that comes first for the group among
// the zone's other entries.
func (k *groupReconciler) heir(view *grouping.View, group string) (grouping.Owner, bool) {
	for _, entry := range routing.Rendezvous(group, view.LiveEntries()) {
		if entry != k.owner().Entry {
			return grouping.Owner{Entry: entry, Epoch: view.Sessions[entry].Epoch}, true
		}
	}
	return grouping.Owner{}, false
}
