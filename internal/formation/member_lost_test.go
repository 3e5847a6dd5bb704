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
// address under another ID: the group ends as soon as that server answers there, without
// the wait for a leader that may only be unreachable. Any other leader is waited for.
func TestGroupEndsWhenAnotherServerAnswersAtItsLeadersAddress(t *testing.T) {
	successors := map[string]struct {
		registered, answers bool
	}{
		"none":                       {},
		"one that answers":           {registered: true, answers: true},
		"a record that nobody backs": {registered: true},
	}
	for name, tc := range successors {
		t.Run(name, func(t *testing.T) {
			w := newTrio()
			w.controller.SetDrainTime(0)
			w.probes["s0"] = formation.ProbeResult{FailingSince: w.start, Refused: true}
			w.orders(tick, 2*tick)
			w.view.Removed["s0"], w.view.RemovedAt["s0"] = w.view.Servers["s0"], w.start
			delete(w.view.Servers, "s0")
			if tc.registered {
				w.claimAddress("10.0.0.s0")
			}
			w.orders(2*tick, 3*tick)
			require.Equal(t, tc.registered, slices.Contains(w.probed, "s9"))
			w.probes["s9"] = formation.ProbeResult{Answered: tc.answers, FailingSince: w.start}
			w.orders(3*tick, 4*tick)
			require.Equal(t, tc.answers, len(w.controller.Groups()) == 0)
		})
	}
}

// Guards against ordering a leader that serves into another group: a record of another
// writer states the leader's address while one of its members leaves.
func TestRecordWithALeadersAddressDoesNotEndItsGroup(t *testing.T) {
	w := newTrio()
	w.claimAddress("10.0.0.s0")
	w.probes["s9"] = formation.ProbeResult{FailingSince: w.start}
	w.view.Servers["s2"].Leaving = true
	require.Equal(t, []string{"close s0"}, w.orders(tick, 2*time.Second))
	w.view.Servers["s0"].Member.State = registry.Ready
	require.Equal(t, []string{"leave s0"}, w.orders(2*time.Second, 2*time.Second+tick))
	require.Len(t, w.controller.Groups(), 1)
}
