package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// noteSuspects remembers the instances that fail probes, so that they join no
// group while the instance list still shows them.
func (k *groupReconciler) noteSuspects(now time.Time) {
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
func (k *groupReconciler) usable(instance string) bool {
	word := k.config.State().Instance(instance)
	_, suspect := k.suspects[instance]
	return !word.Drained && !word.Held && !suspect
}

// repair replaces missing and leaving members of the groups that this entry
// owns: in the fabric domain if it has spares, else by a new group elsewhere.
func (k *groupReconciler) repair(ctx context.Context, now time.Time) {
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
func (k *groupReconciler) gone(s watchStatus) []string {
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

func (k *groupReconciler) replace(ctx context.Context, g grouping.Group, gone []string) {
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
func (k *groupReconciler) plan(row grouping.GroupRow, gone []string, domains []grouping.Domain) (grouping.Change, event.Event, bool) {
	change := grouping.Change{Before: row, After: row.Group}
	for _, d := range domains {
		if d.Name != row.Domain {
			continue
		}
		if members, ok := grouping.ReplaceMembers(row.Group, gone, d.Free); ok {
			change.After.Members = members
			change.Removed = gone
			return change, event.GroupRepaired, true
		}
	}
	instances, ok := k.planner.SelectInstances(len(row.Members), domains)
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
