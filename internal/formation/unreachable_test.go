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

// The order to open got no answer, and then nobody reaches the leader. It may
// open up to 12 s late, stands still from then on since its members have left,
// and is broken 6 s later: only then is the group over.
func TestALateOpenAtALeaderThatCannotBeReachedIsWaitedFor(t *testing.T) {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	ids := []string{"s0", "s1", "s2"}
	id := registry.GroupID{Name: "g", Epoch: 1}
	var members []registry.Incarnation
	entries := map[string]*registry.Server{}
	for rank, name := range ids {
		members = append(members, registry.Incarnation{ID: name, StartTime: 1})
		entries[name] = &registry.Server{
			ID: name, StartTime: 1, Service: service, Zone: zone, Domain: "d", Staged: []string{"large"},
			Member: &registry.Membership{Group: id, Rank: rank, State: registry.Ready, Model: "large"},
		}
	}
	view := &registry.View{Version: 1, Servers: entries, RemovedAt: map[string]time.Time{}}
	start := time.Unix(1000, 0)
	s := formation.NewController(zone, []string{zone}, 1, brokenAfter, []*formation.Group{formation.RestoreGroup(id, "large", members, start)})
	silent := map[string]formation.ProbeResult{}
	contact := func(id string) formation.ProbeResult { return silent[id] }
	step := func(at time.Duration) []formation.Order {
		return s.Step(start.Add(at), view, service, engine, contact).Orders
	}
	over := func() bool {
		return !slices.ContainsFunc(s.Groups(), func(g *formation.Group) bool { return g.ID == id })
	}

	opened := 10 * time.Second
	require.Equal(t, []formation.Order{{Server: "s0", Operation: formation.Open, Group: id}}, step(opened))
	delete(entries, "s0")
	silent["s0"] = formation.ProbeResult{FailingSince: start.Add(opened)}
	left := opened + time.Second
	for _, o := range step(left) {
		require.Equal(t, formation.Leave, o.Operation)
		s.HandleOutcome(o, 1, formation.Begun, start.Add(left))
		entries[o.Server].Member = nil
	}
	for at := left; at < opened+12*time.Second+brokenAfter; at += tick {
		step(at)
		require.False(t, over(), at)
	}
	step(opened + 12*time.Second + brokenAfter + time.Second)
	require.True(t, over())
}
