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
	// repairDelay is how long a member's probes must fail before it counts as
	// missing and is replaced.
	repairDelay = 3 * time.Second
	// commitMargin is the minimum time that the session must stay valid when a
	// transaction is sent.
	commitMargin = time.Second
	// suspectDuration is how long an instance is not selected as a member of a
	// group after its probes last failed.
	suspectDuration = 30 * time.Second
)

// groupReconciler reconciles the zone's replica groups with the configuration: it
// forms, takes over, repairs and dissolves them.
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
	// quarantineTime is how long this entry must observe the row of a quarantined
	// instance that does not check fencing as unchanged, before the instance may
	// join a group again.
	quarantineTime time.Duration

	stepMu contextMutex
	// handingOver is set by handOver and stops the reconciliation.
	handingOver bool
	// quarantined maps each quarantined instance to the observation of its
	// assignment row.
	quarantined map[string]quarantineObservation
	// suspects maps each instance whose probes failed to the time of its last
	// failure.
	suspects map[string]time.Time
}

// quarantineObservation is the version of a quarantined instance's assignment row
// and when this entry first saw that version.
type quarantineObservation struct {
	version int64
	since   time.Time
}

// step runs one reconciliation. Each action uses a view that includes the results
// of the previous actions. If no transaction can be committed, or the entry is
// handing over its groups, only the watches are updated.
func (r *groupReconciler) step(ctx context.Context) {
	if !r.stepMu.lock(ctx) {
		return
	}
	defer r.stepMu.unlock()
	now := time.Now()
	r.watches.sync(now)
	if r.handingOver || !r.canCommit() {
		return
	}
	r.updateSuspects(now)
	r.lapseExpiredSessions(ctx)
	r.endDueQuarantines(ctx, now)
	r.takeOver(ctx)
	r.repair(ctx, now)
	r.formAndDissolve(ctx)
}

// canCommit reports whether the platform is reachable and the session stays valid
// for a transaction.
func (r *groupReconciler) canCommit() bool {
	return r.health.reachable() && r.holder.ValidFor(time.Now(), commitMargin)
}

// self returns this entry with its session epoch as a group owner.
func (r *groupReconciler) self() grouping.Owner {
	session, _ := r.holder.Current()
	return grouping.Owner{Entry: session.Entry, Epoch: session.Epoch}
}

// owns reports whether this entry owns the group and its session stays valid for
// at least d.
func (r *groupReconciler) owns(g grouping.Group, d time.Duration) bool {
	return g.Owner == r.self() && r.holder.ValidFor(time.Now(), d)
}

// isPreferred reports whether rendezvous hashing of key, the name of a group or an
// instance, selects this entry among the zone's live entries. This only avoids
// duplicate work: conflicts are detected by the version checks of the platform's
// table.
func (r *groupReconciler) isPreferred(key string) bool {
	entries := r.views.current().LiveEntries()
	return len(entries) > 0 && routing.Rendezvous(key, entries)[0] == r.self().Entry
}

// commit runs a transaction and reports whether it succeeded. After a success it
// reads the changed rows into the view, otherwise all rows.
func (r *groupReconciler) commit(ctx context.Context, txn platform.Transaction) bool {
	outcome, err := r.platform.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnavailable) {
		_ = r.health.record(err)
	}
	if err == nil && outcome.Succeeded {
		r.views.step(ctx)
		return true
	}
	r.views.refresh(ctx)
	return false
}

// lapseExpiredSessions marks the zone's expired sessions as lapsed in the table, so
// their groups can be taken over.
func (r *groupReconciler) lapseExpiredSessions(ctx context.Context) {
	for _, row := range r.views.expiredSessions() {
		lapsed := membership.Lapse(row, newIdentifier())
		if r.commit(ctx, membership.WriteTransaction(lapsed, row.Version)) {
			event.SessionLapsed.Log(r.logger, logrus.Fields{"entry": row.Entry, "epoch": row.Epoch})
		}
	}
}

// endDueQuarantines ends the quarantine of the instances whose row has been unchanged
// for quarantineTime, since no order of their former group can still arrive. It does not
// wait for instances that check fencing, because they reject orders of an older
// generation. Each instance is left to the entry that isPreferred selects.
func (r *groupReconciler) endDueQuarantines(ctx context.Context, now time.Time) {
	view := r.views.current()
	next := make(map[string]quarantineObservation)
	for name, row := range view.Assignments {
		if !row.Quarantined {
			continue
		}
		observation := r.quarantined[name]
		if observation.version != row.Version {
			observation = quarantineObservation{version: row.Version, since: now}
		}
		next[name] = observation
		expired := now.Sub(observation.since) >= r.quarantineTime
		if (expired || view.Instances[name].ChecksFencing) && r.isPreferred(name) {
			r.endQuarantine(ctx, row)
		}
	}
	r.quarantined = next
}

// endQuarantine makes a quarantined instance available for groups again.
func (r *groupReconciler) endQuarantine(ctx context.Context, row grouping.AssignmentRow) {
	if r.commit(ctx, grouping.UnquarantineTransaction(row, newIdentifier())) {
		event.QuarantineEnded.Log(r.logger, logrus.Fields{"instance": row.Instance})
	}
}

// takeOver claims the groups whose owner's session has ended.
func (r *groupReconciler) takeOver(ctx context.Context) {
	for _, row := range r.views.current().Groups {
		view := r.views.current()
		current, found := view.Groups[row.Name]
		if !found || !view.Claimable(current.Group) || !r.isPreferred(row.Name) || !r.canCommit() {
			continue
		}
		r.claim(ctx, current)
	}
}

// claim makes this entry the owner of a group.
func (r *groupReconciler) claim(ctx context.Context, row grouping.GroupRow) {
	next := row.Group
	next.Owner = r.self()
	next.Attempt = newIdentifier()
	key := grouping.GroupKey(r.zone, row.Name)
	claimed := r.commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: row.Version}},
		Puts:     []platform.Put{{Key: key, Value: grouping.EncodeGroup(next)}},
	})
	if claimed {
		r.watches.watchOwned(next, false)
		event.GroupTakenOver.Log(r.logger, logrus.Fields{"group": row.Name, "from": row.Owner.Entry})
	}
}

// formAndDissolve forms the configured groups that are missing in the zone, and
// dissolves owned groups that are no longer configured.
func (r *groupReconciler) formAndDissolve(ctx context.Context) {
	configured := make(map[string]bool)
	for _, s := range r.config.State().Services() {
		for i := range s.GroupsIn(r.zone) {
			name := fmt.Sprintf("%s-%s-%d", s.Name, r.zone, i)
			configured[name] = true
			if _, exists := r.views.current().Groups[name]; !exists && r.isPreferred(name) {
				r.form(ctx, name, s)
			}
		}
	}
	for name, row := range r.views.current().Groups {
		if !configured[name] && r.owns(row.Group, commitMargin) {
			r.dissolve(ctx, row)
		}
	}
}

// form forms a new group of a service, if enough instances are free.
func (r *groupReconciler) form(ctx context.Context, name string, s operator.Service) {
	view := r.views.current()
	instances, ok := r.planner.SelectInstances(s.GroupSize, view.Domains(s.Name, r.usable))
	if !ok || !r.canCommit() {
		return
	}
	g := grouping.Group{
		Name: name, Service: s.Name, Model: s.EngineModel(), Zone: r.zone,
		Domain: instances[0].FabricDomain, Members: membersOf(instances),
		Owner: r.self(), Attempt: newIdentifier(),
	}
	g.Generation = view.NextGeneration(grouping.Group{}, g.Members)
	if r.commit(ctx, view.Transaction(grouping.Change{After: g})) {
		r.watches.watchOwned(g, true)
		event.GroupFormed.Log(r.logger, logrus.Fields{"group": name, "domain": g.Domain})
	}
}

// dissolve deletes a group's row, releases its members and stops its watch.
func (r *groupReconciler) dissolve(ctx context.Context, row grouping.GroupRow) {
	if r.commit(ctx, r.views.current().DissolveTransaction(row, newIdentifier())) {
		r.views.refresh(ctx) // commit has read only the changed rows; only a full read detects deleted ones
		r.watches.remove(row.Name)
		event.GroupReleased.Log(r.logger, logrus.Fields{"group": row.Name})
	}
}
