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
	// repairAfter is how long a member must be silent before it is replaced.
	repairAfter = 3 * time.Second
	// actMargin is what the session must still cover before a transaction.
	actMargin = time.Second
	// suspectTime is how long an instance that failed joins no new group.
	suspectTime = 30 * time.Second
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
	// quarantine is how long an instance without fencing stays unused.
	quarantineTime time.Duration

	stepMu   contextMutex
	leaving  bool
	seen     map[string]quarantineSighting
	suspects map[string]time.Time
}

// quarantineSighting is since when a quarantined row has stood unchanged.
type quarantineSighting struct {
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
	k.watches.follow(now)
	if k.leaving || !k.mayAct() {
		return
	}
	k.noteSuspects(now)
	k.lapseSilent(ctx)
	k.unquarantine(ctx, now)
	k.takeOver(ctx)
	k.repair(ctx, now)
	k.formAndRelease(ctx)
}

func (k *groupReconciler) mayAct() bool {
	return k.health.reachable() && k.holder.ValidFor(time.Now(), actMargin)
}

// owner returns this entry's session as a group's owner.
func (k *groupReconciler) owner() grouping.Owner {
	session, _ := k.holder.Current()
	return grouping.Owner{Entry: session.Entry, Epoch: session.Epoch}
}

// owns reports whether this entry owns the group and its session covers d.
func (k *groupReconciler) owns(g grouping.Group, d time.Duration) bool {
	return g.Owner == k.owner() && k.holder.ValidFor(time.Now(), d)
}

// first reports whether this entry comes first among the zone's entries for a
// key. It only keeps entries from doing the same work; the table decides.
func (k *groupReconciler) first(key string) bool {
	entries := k.views.current().LiveEntries()
	return len(entries) > 0 && routing.Rendezvous(key, entries)[0] == k.owner().Entry
}

// commit runs a transaction and brings the view up to date, whatever came of
// it.
func (k *groupReconciler) commit(ctx context.Context, txn platform.Transaction) bool {
	outcome, err := k.platform.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnavailable) {
		_ = k.health.note(err)
	}
	if err == nil && outcome.Succeeded {
		k.views.step(ctx)
		return true
	}
	k.views.refresh(ctx)
	return false
}

func (k *groupReconciler) lapseSilent(ctx context.Context) {
	for _, row := range k.views.silent() {
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
	next := make(map[string]quarantineSighting)
	for name, row := range view.Assignments {
		if !row.Quarantined {
			continue
		}
		sighting := k.seen[name]
		if sighting.version != row.Version {
			sighting = quarantineSighting{version: row.Version, since: now}
		}
		next[name] = sighting
		waited := now.Sub(sighting.since) >= k.quarantineTime
		if (waited || view.Instances[name].ChecksFencing) && k.first(name) {
			k.free(ctx, row)
		}
	}
	k.seen = next
}

func (k *groupReconciler) free(ctx context.Context, row grouping.AssignmentRow) {
	if k.commit(ctx, grouping.UnquarantineTransaction(row, newIdentifier())) {
		event.QuarantineEnded.Log(k.logger, logrus.Fields{"instance": row.Instance})
	}
}

// takeOver claims the groups whose owner's session has ended.
func (k *groupReconciler) takeOver(ctx context.Context) {
	for _, row := range k.views.current().Groups {
		view := k.views.current()
		current, found := view.Groups[row.Name]
		if !found || !view.Claimable(current.Group) || !k.first(row.Name) || !k.mayAct() {
			continue
		}
		k.claim(ctx, current)
	}
}

func (k *groupReconciler) claim(ctx context.Context, row grouping.GroupRow) {
	next := row.Group
	next.Owner = k.owner()
	next.Attempt = newIdentifier()
	key := grouping.GroupKey(k.zone, row.Name)
	claimed := k.commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: row.Version}},
		Puts:     []platform.Put{{Key: key, Value: grouping.EncodeGroup(next)}},
	})
	if claimed {
		k.watches.adopt(next, false)
		event.GroupTakenOver.Log(k.logger, logrus.Fields{"group": row.Name, "from": row.Owner.Entry})
	}
}

// formAndRelease brings the zone's groups to what the configuration asks for.
func (k *groupReconciler) formAndRelease(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, s := range k.config.State().Services() {
		for i := range s.GroupsIn(k.zone) {
			name := fmt.Sprintf("%s-%s-%d", s.Name, k.zone, i)
			wanted[name] = true
			if _, exists := k.views.current().Groups[name]; !exists && k.first(name) {
				k.form(ctx, name, s)
			}
		}
	}
	for name, row := range k.views.current().Groups {
		if !wanted[name] && k.owns(row.Group, actMargin) {
			k.release(ctx, row)
		}
	}
}

func (k *groupReconciler) form(ctx context.Context, name string, s operator.Service) {
	view := k.views.current()
	instances, ok := k.planner.SelectInstances(s.GroupSize, view.Domains(s.Name, k.usable))
	if !ok || !k.mayAct() {
		return
	}
	g := grouping.Group{
		Name: name, Service: s.Name, Model: s.EngineModel(), Zone: k.zone,
		Domain: instances[0].FabricDomain, Members: membersOf(instances),
		Owner: k.owner(), Attempt: newIdentifier(),
	}
	g.Generation = view.NextGeneration(grouping.Group{}, g.Members)
	if k.commit(ctx, view.Transaction(grouping.Change{After: g})) {
		k.watches.adopt(g, true)
		event.GroupFormed.Log(k.logger, logrus.Fields{"group": name, "domain": g.Domain})
	}
}

func (k *groupReconciler) release(ctx context.Context, row grouping.GroupRow) {
	if k.commit(ctx, k.views.current().DissolveTransaction(row, newIdentifier())) {
		k.views.refresh(ctx) // a deleted row shows only in a full read
		k.watches.drop(row.Name)
		event.GroupReleased.Log(k.logger, logrus.Fields{"group": row.Name})
	}
}
