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

// Guards against ending a group too early after an unanswered open order to a
// leader that then becomes unreachable. The leader may open up to 12 s late. It
// stalls from then on, because its members have left, and breaks 6 s later. The
// group has ended only then.
func TestGroupWithUnreachableLeaderEndsAfterLateOpen(t *testing.T) {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	ids := []string{"s0", "s1", "s2"}
	id := registry.GroupID{Name: "g", Epoch: 1}
	var members []registry.Incarnation
	records := map[string]*registry.Server{}
	for rank, name := range ids {
		members = append(members, registry.Incarnation{ID: name, StartTime: 1})
		records[name] = &registry.Server{
			ID: name, StartTime: 1, Service: service, Zone: zone, Domain: "d", Staged: []string{"large"},
			Member: &registry.Membership{Group: id, Rank: rank, State: registry.Ready, Model: "large"},
		}
	}
	view := &registry.View{Version: 1, Servers: records, RemovedAt: map[string]time.Time{}}
	start := time.Unix(1000, 0)
	c := formation.NewController(zone, []string{zone}, 1, brokenAfter, []*formation.Group{formation.RestoreGroup(id, "large", members, start)})
	probes := map[string]formation.ProbeResult{}
	probe := func(id string) formation.ProbeResult { return probes[id] }
	step := func(at time.Duration) []formation.Order {
		return c.Step(start.Add(at), view, service, engine, probe).Orders
	}
	ended := func() bool {
		return !slices.ContainsFunc(c.Groups(), func(g *formation.Group) bool { return g.ID == id })
	}

	openedAt := 10 * time.Second
	require.Equal(t, []formation.Order{{Server: "s0", Operation: formation.Open, Group: id}}, step(openedAt))
	delete(records, "s0")
	probes["s0"] = formation.ProbeResult{FailingSince: start.Add(openedAt)}
	leftAt := openedAt + time.Second
	for _, o := range step(leftAt) {
		require.Equal(t, formation.Leave, o.Operation)
		c.HandleOutcome(o, 1, formation.Begun, start.Add(leftAt))
		records[o.Server].Member = nil
	}
	for at := leftAt; at < openedAt+12*time.Second+brokenAfter; at += tick {
		step(at)
		require.False(t, ended(), at)
	}
	step(openedAt + 12*time.Second + brokenAfter + time.Second)
	require.True(t, ended())
}
