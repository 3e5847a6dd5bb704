package formation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// Guards against a server that joins another group while it still leads an open one:
// it was cut off for longer than its record lasts, and its group was given up
// meanwhile. Cuts of 2 to 12 s, both ways and from the server only, for groups of
// one, two and four, also when the controller changes during the cut or after it.
func TestALeaderThatWasCutOffLeavesBeforeItJoinsAnotherGroup(t *testing.T) {
	cuts := map[string]func(h *simHost, cut bool){
		"both ways":       func(h *simHost, cut bool) { h.isolated = cut },
		"from the server": func(h *simHost, cut bool) { h.mute = cut },
		"from the store":  func(h *simHost, cut bool) { h.cutFromStore = cut },
	}
	for _, size := range []int{1, 2, 4} {
		for name, cut := range cuts {
			for seconds := 2; seconds <= 12; seconds += 2 {
				for _, change := range []string{"never", "during the cut", "after the cut"} {
					t.Run(fmt.Sprintf("%d %s %d s %s", size, name, seconds, change), func(t *testing.T) {
						w := newSimulation(12)
						w.engine.Models = []routes.Model{{Name: "small", GroupSize: size, InitialShare: 1}}
						w.run(10*time.Second, noDelay)
						groups := w.openGroups("small")
						require.Positive(t, groups)
						leader := w.firstLeader()
						cut(leader, true)
						half := time.Duration(seconds) * time.Second / 2
						w.run(half, noDelay)
						if change == "during the cut" {
							w.newController()
						}
						w.run(half, noDelay)
						cut(leader, false)
						if change == "after the cut" {
							w.newController()
						}
						w.run(20*time.Second, noDelay)
						require.Empty(t, w.servers.Violations, strings.Join(w.trace, "\n"))
						require.Equal(t, groups, w.openGroups("small"), strings.Join(w.trace, "\n"))
						require.Len(t, w.records, groups)
					})
				}
			}
		}
	}
}

// firstLeader returns the first server that leads an open group.
func (w *simulation) firstLeader() *simHost {
	for _, id := range w.hostIDs() {
		if h := w.hosts[id]; h.Member != nil && h.Member.State == registry.Open {
			return h
		}
	}
	panic("no group is open")
}

// Guards against cutting the requests of a leader that comes back: its group is
// closed, and the leader leaves only once its requests have ended.
func TestAGroupWithoutRecordDrains(t *testing.T) {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 1, InitialShare: 1}}}
	id := registry.GroupID{Name: "g", Epoch: 1}
	start := time.Unix(1000, 0)
	server := &registry.Server{
		ID: "s0", StartTime: 1, Service: service, Zone: zone, Domain: "d", Staged: []string{"large"},
		Member: &registry.Membership{Group: id, State: registry.Open, Model: "large"},
	}
	view := &registry.View{Version: 1, Servers: map[string]*registry.Server{"s0": server}}
	c := formation.NewController(zone, []string{zone}, 2, brokenAfter, nil)
	step := func(at time.Duration) formation.Decision {
		return c.Step(start.Add(at), view, service, engine, func(string) formation.ProbeResult { return formation.ProbeResult{} })
	}
	require.Equal(t, []formation.Order{{Server: "s0", Operation: formation.Close, Group: id}}, step(0).Orders)
	server.Member.State = registry.Closing
	require.Empty(t, step(tick).Orders)
	server.Member.State = registry.Ready
	require.Equal(t, []formation.Order{{Server: "s0", Operation: formation.Leave, Group: id}}, step(2*tick).Orders)
	server.Member = nil
	d := step(3 * tick)
	require.Len(t, d.NewGroups, 1, "the server is free now")
	require.Empty(t, d.ObsoleteRecords, "the group had no record")
}
