package formation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// openGroup returns the members of an open group of three and a view of them.
func openGroup(id registry.GroupID) ([]registry.Incarnation, *registry.View) {
	var members []registry.Incarnation
	v := &registry.View{Version: 1, Servers: map[string]*registry.Server{}, RemovedAt: map[string]time.Time{}, Removed: map[string]*registry.Server{}}
	for rank, name := range []string{"s0", "s1", "s2"} {
		members = append(members, registry.Incarnation{ID: name, StartTime: 1})
		v.Servers[name] = &registry.Server{
			ID: name, StartTime: 1, Service: service, Zone: zone, Address: "10.0.0." + name, Domain: "d", Staged: []string{"large"},
			Member: &registry.Membership{Group: id, Rank: rank, State: registry.Ready, Model: "large"},
		}
	}
	v.Servers["s0"].Member.State = registry.Open
	return members, v
}

// Guards against giving up the running work of a server that is only cut off from
// the store: its record is gone, but it answers. The group takes no more requests,
// and its leader is ordered to leave only when it is ready again. A member that does
// not answer ends the group.
func TestGroupOfAMemberWithoutRecordThatAnswersDrains(t *testing.T) {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	id := registry.GroupID{Name: "g", Epoch: 1}
	start := time.Unix(1000, 0)
	for _, answers := range []bool{true, false} {
		members, view := openGroup(id)
		leader := view.Servers["s0"]
		c := formation.NewController(zone, []string{zone}, 1, brokenAfter, []*formation.Group{formation.RestoreGroup(id, "large", members, start)})
		probes := map[string]formation.ProbeResult{}
		step := func(at time.Duration) []formation.Order {
			return c.Step(start.Add(at), view, service, engine, func(id string) formation.ProbeResult { return probes[id] }).Orders
		}
		step(0)
		view.Removed["s2"], view.RemovedAt["s2"] = view.Servers["s2"], start
		delete(view.Servers, "s2")
		require.Empty(t, step(tick), "the member is probed first")
		want := formation.Leave
		probes["s2"] = formation.ProbeResult{FailingSince: start}
		if answers {
			probes["s2"] = formation.ProbeResult{Answered: true}
			want = formation.Close
		}
		require.Equal(t, []formation.Order{{Server: "s0", Operation: want, Group: id}}, step(2*tick))
		if !answers {
			continue
		}
		leader.Member.State = registry.Closing
		for at := 3 * tick; at < 2*time.Second; at += tick {
			for _, o := range step(at) {
				require.Equal(t, formation.Close, o.Operation)
			}
		}
		leader.Member.State = registry.Ready
		require.Equal(t, []formation.Order{{Server: "s0", Operation: formation.Leave, Group: id}}, step(2*time.Second))
	}
}

// Guards against a long outage of a group whose leader crashed and is back at its
// address under another ID: the group ends at once, without the wait for a leader
// that may only be unreachable. A leader that is not replaced is waited for.
func TestGroupEndsWhenAnotherServerStartsAtItsLeadersAddress(t *testing.T) {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	id := registry.GroupID{Name: "g", Epoch: 1}
	start := time.Unix(1000, 0)
	for _, replaced := range []bool{true, false} {
		members, view := openGroup(id)
		c := formation.NewController(zone, []string{zone}, 1, brokenAfter, []*formation.Group{formation.RestoreGroup(id, "large", members, start)})
		probes := map[string]formation.ProbeResult{}
		step := func(at time.Duration) {
			c.Step(start.Add(at), view, service, engine, func(id string) formation.ProbeResult { return probes[id] })
		}
		step(0)
		probes["s0"] = formation.ProbeResult{FailingSince: start, Refused: true}
		step(tick)
		view.Removed["s0"], view.RemovedAt["s0"] = view.Servers["s0"], start
		delete(view.Servers, "s0")
		if replaced {
			view.Servers["s9"] = &registry.Server{
				ID: "s9", StartTime: 2, Service: service, Zone: zone, Address: "10.0.0.s0", Domain: "d", Staged: []string{"large"},
			}
		}
		step(2 * tick)
		ended := !slices.ContainsFunc(c.Groups(), func(g *formation.Group) bool { return g.ID == id })
		require.Equal(t, replaced, ended)
	}
}
