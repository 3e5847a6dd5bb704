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

// groupKeeper carries out what the zone's replica groups need: it forms,
// takes over, repairs and releases them.
type groupKeeper struct {
	logger   *logrus.Logger
	zone     string
	platform *platform.Client
	health   *platformHealth
	config   *config.Log
	holder   *membership.Holder
	views    *viewKeeper
	watches  *watches
	planner  grouping.Planner
	// quarantine is how long an instance without fencing stays unused.
	quarantine time.Duration

	turn     turn
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
func (k *groupKeeper) step(ctx context.Context) {
	if !k.turn.take(ctx) {
		return
	}
	defer k.turn.give()
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

func (k *groupKeeper) mayAct() bool {
	return k.health.reachable() && k.holder.ValidFor(time.Now(), actMargin)
}

// owner returns this entry's session as a group's owner.
func (k *groupKeeper) owner() grouping.Owner {
	session, _ := k.holder.Current()
	return grouping.Owner{Entry: session.Entry, Epoch: session.Epoch}
}

// owns reports whether this entry owns the group and its session covers d.
func (k *groupKeeper) owns(g grouping.Group, d time.Duration) bool {
	return g.Owner == k.owner() && k.holder.ValidFor(time.Now(), d)
}

// first reports whether this entry comes first among the zone's entries for a
// key. It only keeps entries from doing the same work; the table decides.
func (k *groupKeeper) first(key string) bool {
	entries := k.views.current().LiveEntries()
	return len(entries) > 0 && routing.Rendezvous(key, entries)[0] == k.owner().Entry
}

// commit runs a transaction and brings the view up to date, whatever came of
// it.
func (k *groupKeeper) commit(ctx context.Context, txn platform.Transaction) bool {
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

func (k *groupKeeper) lapseSilent(ctx context.Context) {
	for _, row := range k.views.silent() {
		lapsed := membership.Lapse(row, newIdentifier())
		if k.commit(ctx, membership.Write(lapsed, row.Version)) {
			event.SessionLapsed.Log(k.logger, logrus.Fields{"entry": row.Entry, "epoch": row.Epoch})
		}
	}
}

// unquarantine frees the instances to which no order can be under way. Those
// that check fencing need no wait: they refuse an old generation.
func (k *groupKeeper) unquarantine(ctx context.Context, now time.Time) {
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
		waited := now.Sub(sighting.since) >= k.quarantine
		if (waited || view.Instances[name].ChecksFencing) && k.first(name) {
			k.free(ctx, row)
		}
	}
	k.seen = next
}

func (k *groupKeeper) free(ctx context.Context, row grouping.AssignmentRow) {
	if k.commit(ctx, grouping.Unquarantine(row, newIdentifier())) {
		event.InstanceFreed.Log(k.logger, logrus.Fields{"instance": row.Instance})
	}
}

// takeOver claims the groups whose owner's session has ended.
func (k *groupKeeper) takeOver(ctx context.Context) {
	for _, row := range k.views.current().Groups {
		view := k.views.current()
		current, found := view.Groups[row.Name]
		if !found || !view.Claimable(current.Group) || !k.first(row.Name) || !k.mayAct() {
			continue
		}
		k.claim(ctx, current)
	}
}

func (k *groupKeeper) claim(ctx context.Context, row grouping.GroupRow) {
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

// noteSuspects remembers the instances that fail probes, so that they join no
// group while the instance list still shows them.
func (k *groupKeeper) noteSuspects(now time.Time) {
	for instance := range k.watches.suspected(now) {
		k.suspects[instance] = now
	}
	for instance, since := range k.suspects {
		if now.Sub(since) > suspectTime {
			delete(k.suspects, instance)
		}
	}
}

// usable reports whether an instance may join a group.
func (k *groupKeeper) usable(instance string) bool {
	word := k.config.State().Instance(instance)
	_, suspect := k.suspects[instance]
	return !word.Drained && !word.Held && !suspect
}

// repair replaces missing and leaving members of the groups that this entry
// owns: in the fabric domain if it has spares, else by a new group elsewhere.
func (k *groupKeeper) repair(ctx context.Context, now time.Time) {
	for _, s := range k.watches.statuses(now, repairAfter) {
		if !k.owns(s.group, actMargin) {
			continue
		}
		gone := k.gone(s)
		if len(gone) > 0 {
			k.replace(ctx, s.group, gone)
		}
	}
}

// gone returns the members that must be replaced now. One that leaves in
// order is replaced once the group has finished its requests.
func (k *groupKeeper) gone(s watchStatus) []string {
	gone := s.missing
	if s.verdict.Load > 0 || s.lent > 0 {
		return gone
	}
	for _, m := range s.group.Members {
		if k.config.State().Instance(m.Instance).Drained || k.views.current().Instances[m.Instance].Leaving {
			gone = append(gone, m.Instance)
		}
	}
	return append(gone, s.leaving...)
}

func (k *groupKeeper) replace(ctx context.Context, g grouping.Group, gone []string) {
	view := k.views.current()
	row, found := view.Groups[g.Name]
	if !found || row.Attempt != g.Attempt {
		return
	}
	domains := view.Domains(g.Service, k.usable)
	change, ev, ok := k.plan(row, gone, domains)
	if !ok {
		return
	}
	change.After.Owner = k.owner()
	change.After.Attempt = newIdentifier()
	change.After.Generation = view.NextGeneration(row.Group, change.After.Members)
	if k.commit(ctx, view.Transaction(change)) {
		k.watches.adopt(change.After, true)
		ev.Log(k.logger, logrus.Fields{"group": g.Name, "gone": gone, "generation": change.After.Generation})
	}
}

// plan returns the change that brings the group back to full size.
func (k *groupKeeper) plan(row grouping.GroupRow, gone []string, domains []grouping.Domain) (grouping.Change, event.Event, bool) {
	change := grouping.Change{Before: row, After: row.Group}
	for _, d := range domains {
		if d.Name != row.Domain {
			continue
		}
		if members, ok := grouping.Replace(row.Group, gone, d.Free); ok {
			change.After.Members = members
			change.Removed = gone
			return change, event.GroupRepaired, true
		}
	}
	instances, ok := k.planner.Form(len(row.Members), domains)
	if !ok {
		return change, event.Event{}, false
	}
	change.After.Domain = instances[0].FabricDomain
	change.After.Members = membersOf(instances)
	for _, m := range row.Members {
		change.Removed = append(change.Removed, m.Instance)
	}
	return change, event.GroupReformed, true
}

func membersOf(instances []platform.Instance) []grouping.Member {
	members := make([]grouping.Member, 0, len(instances))
	for _, i := range instances {
		members = append(members, grouping.MemberOf(i))
	}
	return members
}

// formAndRelease brings the zone's groups to what the configuration asks for.
func (k *groupKeeper) formAndRelease(ctx context.Context) {
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

func (k *groupKeeper) form(ctx context.Context, name string, s operator.Service) {
	view := k.views.current()
	instances, ok := k.planner.Form(s.GroupSize, view.Domains(s.Name, k.usable))
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

func (k *groupKeeper) release(ctx context.Context, row grouping.GroupRow) {
	if k.commit(ctx, k.views.current().Release(row, newIdentifier())) {
		k.views.refresh(ctx) // a deleted row shows only in a full read
		k.watches.drop(row.Name)
		event.GroupReleased.Log(k.logger, logrus.Fields{"group": row.Name})
	}
}

// handOver gives all owned groups to other entries of the zone, in one
// transaction, and forms or takes over no more.
func (k *groupKeeper) handOver(ctx context.Context) error {
	if !k.turn.take(ctx) {
		return ctx.Err()
	}
	defer k.turn.give()
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

func (k *groupKeeper) handOverTransaction() (platform.Transaction, []grouping.Group) {
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
func (k *groupKeeper) heir(view *grouping.View, group string) (grouping.Owner, bool) {
	for _, entry := range routing.Rendezvous(group, view.LiveEntries()) {
		if entry != k.owner().Entry {
			return grouping.Owner{Entry: entry, Epoch: view.Sessions[entry].Epoch}, true
		}
	}
	return grouping.Owner{}, false
}
