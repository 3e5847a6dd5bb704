package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// updateSuspects records the instances whose probes fail. They join no new group for
// suspectDuration, even if the instance list still contains them.
func (r *groupReconciler) updateSuspects(now time.Time) {
	for instance := range r.watches.failingInstances(now) {
		r.suspects[instance] = now
	}
	for instance, lastFailure := range r.suspects {
		if now.Sub(lastFailure) > suspectDuration {
			delete(r.suspects, instance)
		}
	}
}

// usable reports whether an instance may join a group.
func (r *groupReconciler) usable(instance string) bool {
	instanceConfig := r.config.State().Instance(instance)
	_, suspect := r.suspects[instance]
	return !instanceConfig.Drained && !instanceConfig.Held && !suspect
}

// repair replaces missing and leaving members of the groups that this entry owns.
// If the fabric domain has no spare instances, the whole group moves to another
// domain.
func (r *groupReconciler) repair(ctx context.Context, now time.Time) {
	for _, s := range r.watches.statuses(now, repairDelay) {
		if !r.owns(s.group, commitMargin) {
			continue
		}
		replaced := r.membersToReplace(s)
		if len(replaced) > 0 {
			r.replaceMembers(ctx, s.group, replaced)
		}
	}
}

// membersToReplace returns the members that must be replaced now. Leaving and
// drained members are replaced only when the group has no load and no outstanding
// credits.
func (r *groupReconciler) membersToReplace(s watchStatus) []string {
	replaced := s.missing
	if s.status.Load > 0 || s.outstanding > 0 {
		return replaced
	}
	for _, m := range s.group.Members {
		if r.config.State().Instance(m.Instance).Drained || r.views.current().Instances[m.Instance].Leaving {
			replaced = append(replaced, m.Instance)
		}
	}
	return append(replaced, s.leaving...)
}

// replaceMembers commits a new generation of the group without the replaced members.
// It does nothing if the group's row has changed since the watch's status, or if not
// enough instances are free.
func (r *groupReconciler) replaceMembers(ctx context.Context, g grouping.Group, replaced []string) {
	view := r.views.current()
	row, found := view.Groups[g.Name]
	if !found || row.Attempt != g.Attempt {
		return
	}
	domains := view.Domains(g.Service, r.usable)
	change, ev, ok := r.planReplacement(row, replaced, domains)
	if !ok {
		return
	}
	change.After.Owner = r.self()
	change.After.Attempt = newIdentifier()
	change.After.Generation = view.NextGeneration(row.Group, change.After.Members)
	if r.commit(ctx, view.Transaction(change)) {
		r.watches.watchOwned(change.After, true)
		ev.Log(r.logger, logrus.Fields{"group": g.Name, "gone": replaced, "generation": change.After.Generation})
	}
}

// planReplacement returns the change that restores the group to its full size, and
// the event to log when it is committed. It returns false if no fabric domain has
// enough free instances.
func (r *groupReconciler) planReplacement(row grouping.GroupRow, replaced []string, domains []grouping.Domain) (grouping.Change, event.Event, bool) {
	change := grouping.Change{Before: row, After: row.Group}
	for _, d := range domains {
		if d.Name != row.Domain {
			continue
		}
		if members, ok := grouping.ReplaceMembers(row.Group, replaced, d.Free); ok {
			change.After.Members = members
			change.Removed = replaced
			return change, event.GroupRepaired, true
		}
	}
	instances, ok := r.planner.SelectInstances(len(row.Members), domains)
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
