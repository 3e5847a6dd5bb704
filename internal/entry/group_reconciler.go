package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// repairDelay is how long a member must be silent before it is replaced.
	repairDelay = 3 * time.Second
	// commitMargin is what the session must still cover before a transaction.
	commitMargin = time.Second
	// suspectDuration is how long an instance that failed joins no new group.
	suspectDuration = 30 * time.Second
)

// groupReconciler carries out what the zone's replica groups need: it forms,
// takes over, repairs and releases them.
type groupReconciler struct {
	logger   *logrus.Logger
	zone     string
	platform *platform.Client
	health   *platformHealth
	config   *config.Log
	holder   *membership.Holder
	views    *viewCache
	watches  *watches
	planner  grouping.Planner
	// quarantineTime is how long an instance without fencing stays unused.
	quarantineTime time.Duration

	stepMu      contextMutex
	leaving     bool
	quarantined map[string]quarantineObservation
	suspects    map[string]time.Time
}

// quarantineObservation is since when a quarantined row has stood unchanged.
type quarantineObservation struct {
	version int64
	since   time.Time
}

// step does everything that is due. Each act works on a copy of the view that
// holds the outcome of the acts before it.
func (k *groupReconciler) step(ctx context.Context) {
	if !k.stepMu.lock(ctx) {
		return
	}
	defer k.stepMu.unlock()
	now := time.Now()
	k.watches.sync(now)
	if k.leaving || !k.canCommit() {
		return
	}
	k.updateSuspects(now)
	k.lapseExpiredSessions(ctx)
	k.unquarantine(ctx, now)
	k.takeOver(ctx)
	k.repair(ctx, now)
	k.formAndDissolve(ctx)
}

func (k *groupReconciler) canCommit() bool {
	return k.health.reachable() && k.holder.ValidFor(time.Now(), commitMargin)
}

// self returns this entry's session as a group's self.
func (k *groupReconciler) self() grouping.Owner {
	session, _ := k.holder.Current()
	return grouping.Owner{Entry: session.Entry, Epoch: session.Epoch}
}

// owns reports whether this entry owns the group and its session covers d.
func (k *groupReconciler) owns(g grouping.Group, d time.Duration) bool {
	return g.Owner == k.self() && k.holder.ValidFor(time.Now(), d)
}

// isPreferred reports whether this entry comes isPreferred among the zone's entries for a
// key. It only keeps entries from doing the same work; the table decides.
func (k *groupReconciler) isPreferred(key string) bool {
	entries := k.views.current().LiveEntries()
	return len(entries) > 0 && routing.Rendezvous(key, entries)[0] == k.self().Entry
}

// commit runs a transaction and brings the view up to date, whatever came of
// it.
func (k *groupReconciler) commit(ctx context.Context, txn platform.Transaction) bool {
	outcome, err := k.platform.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnavailable) {
		_ = k.health.record(err)
	}
	if err == nil && outcome.Succeeded {
		k.views.step(ctx)
		return true
	}
	k.views.refresh(ctx)
	return false
}

func (k *groupReconciler) lapseExpiredSessions(ctx context.Context) {
	for _, row := range k.views.expiredSessions() {
		lapsed := membership.Lapse(row, newIdentifier())
		if k.commit(ctx, membership.WriteTransaction(lapsed, row.Version)) {
			event.SessionLapsed.Log(k.logger, logrus.Fields{"entry": row.Entry, "epoch": row.Epoch})
		}
	}
}

// unquarantine frees the instances to which no order can be under way. Those
// that check fencing need no wait: they refuse an old generation.
func (k *groupReconciler) unquarantine(ctx context.Context, now time.Time) {
	view := k.views.current()
	next := make(map[string]quarantineObservation)
	for name, row := range view.Assignments {
		if !row.Quarantined {
			continue
		}
		sighting := k.quarantined[name]
		if sighting.version != row.Version {
			sighting = quarantineObservation{version: row.Version, since: now}
		}
		next[name] = sighting
		waited := now.Sub(sighting.since) >= k.quarantineTime
		if (waited || view.Instances[name].ChecksFencing) && k.isPreferred(name) {
			k.endQuarantine(ctx, row)
		}
	}
	k.quarantined = next
}

func (k *groupReconciler) endQuarantine(ctx context.Context, row grouping.AssignmentRow) {
	if k.commit(ctx, grouping.UnquarantineTransaction(row, newIdentifier())) {
		event.InstanceFreed.Log(k.logger, logrus.Fields{"instance": row.Instance})
	}
}

// takeOver claims the groups whose owner's session has ended.
func (k *groupReconciler) takeOver(ctx context.Context) {
	for _, row := range k.views.current().Groups {
		view := k.views.current()
		current, found := view.Groups[row.Name]
		if !found || !view.Claimable(current.Group) || !k.isPreferred(row.Name) || !k.canCommit() {
			continue
		}
		k.claim(ctx, current)
	}
}

func (k *groupReconciler) claim(ctx context.Context, row grouping.GroupRow) {
	next := row.Group
	next.Owner = k.self()
	next.Attempt = newIdentifier()
	key := grouping.GroupKey(k.zone, row.Name)
	claimed := k.commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: row.Version}},
		Puts:     []platform.Put{{Key: key, Value: grouping.EncodeGroup(next)}},
	})
	if claimed {
		k.watches.watchOwned(next, false)
		event.GroupTakenOver.Log(k.logger, logrus.Fields{"group": row.Name, "from": row.Owner.Entry})
	}
}

// formAndDissolve brings the zone's groups to what the configuration asks for.
func (k *groupReconciler) formAndDissolve(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, s := range k.config.State().Services() {
		for i := range s.GroupsIn(k.zone) {
			name := fmt.Sprintf("%s-%s-%d", s.Name, k.zone, i)
			wanted[name] = true
			if _, exists := k.views.current().Groups[name]; !exists && k.isPreferred(name) {
				k.form(ctx, name, s)
			}
		}
	}
	for name, row := range k.views.current().Groups {
		if !wanted[name] && k.owns(row.Group, commitMargin) {
			k.dissolve(ctx, row)
		}
	}
}

func (k *groupReconciler) form(ctx context.Context, name string, s operator.Service) {
	view := k.views.current()
	instances, ok := k.planner.SelectInstances(s.GroupSize, view.Domains(s.Name, k.usable))
	if !ok || !k.canCommit() {
		return
	}
	g := grouping.Group{
		Name: name, Service: s.Name, Model: s.EngineModel(), Zone: k.zone,
		Domain: instances[0].FabricDomain, Members: membersOf(instances),
		Owner: k.self(), Attempt: newIdentifier(),
	}
	g.Generation = view.NextGeneration(grouping.Group{}, g.Members)
	if k.commit(ctx, view.Transaction(grouping.Change{After: g})) {
		k.watches.watchOwned(g, true)
		event.GroupFormed.Log(k.logger, logrus.Fields{"group": name, "domain": g.Domain})
	}
}

func (k *groupReconciler) dissolve(ctx context.Context, row grouping.GroupRow) {
	if k.commit(ctx, k.views.current().DissolveTransaction(row, newIdentifier())) {
		k.views.refresh(ctx) // a deleted row shows only in a full read
		k.watches.remove(row.Name)
		event.GroupReleased.Log(k.logger, logrus.Fields{"group": row.Name})
	}
}
