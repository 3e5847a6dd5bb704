package formation_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 60)) }

func noDelay() time.Duration { return 0 }

// openGroups returns the number of open leaders of the model.
func (w *simulation) openGroups(model string) int {
	n := 0
	for _, h := range w.hosts {
		if h.Member != nil && h.Member.State == registry.Open && h.Member.Model == model {
			n++
		}
	}
	return n
}

func (w *simulation) run(d time.Duration, delay func() time.Duration) {
	for range int(d / tick) {
		w.advance()
		w.publish()
		w.step(delay)
	}
}

// repairAll ends all injected faults.
func (w *simulation) repairAll() {
	w.storeWritable = true
	for _, id := range w.hostIDs() {
		w.hosts[id].cutFromStore, w.hosts[id].isolated = false, false
		if !w.hosts[id].Alive {
			w.restart(id)
		}
	}
}

func TestAZoneFormsGroupsOfBothModels(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	require.Equal(t, 2, w.openGroups("large"))
	require.Equal(t, 4, w.openGroups("small"))
	require.Empty(t, w.servers.Violations)
}

// Groups and spares that are planned together must spread evenly, so that each
// domain can repair its own groups.
func TestGroupsAndSparesSpreadEvenlyAcrossDomains(t *testing.T) {
	w := newSimulation(20)
	w.controller.SetBootstrapping(true)
	w.run(10*time.Second, noDelay)
	requireSpread(t, w, map[string]int{"large": 1, "small": 2}, map[string]int{"large": 1, "small": 1})
}

// requireSpread checks the open groups and the spares of each domain, by model.
func requireSpread(t *testing.T, w *simulation, wantGroups, wantSpares map[string]int) {
	t.Helper()
	for _, domain := range []string{"d0", "d1"} {
		groups, spares := map[string]int{}, map[string]int{}
		for _, h := range w.hosts {
			switch {
			case h.Domain != domain:
			case h.Member == nil:
				spares[h.Staged]++
			case h.Member.State == registry.Open:
				groups[h.Member.Model]++
			}
		}
		require.Equal(t, wantGroups, groups, domain)
		require.Equal(t, wantSpares, spares, domain)
	}
}

// Guards against idle members after losses. Two members crash at a time while
// servers without weights join. The remaining members must form new groups
// immediately, and no ready member may wait for one that loads weights.
func TestRemainingMembersDoNotWaitForLoads(t *testing.T) {
	w := newSimulation(20)
	w.controller.SetBootstrapping(true)
	w.run(10*time.Second, noDelay)
	w.controller.SetBootstrapping(false)
	for round := range 6 {
		lost := 0
		for _, id := range w.hostIDs() {
			if h := w.hosts[id]; h.Alive && h.Member != nil && lost < 2 && (round+len(id))%2 == 0 {
				w.crash(id)
				lost++
			}
		}
		w.add(fmt.Sprintf("n%d", round), fmt.Sprintf("d%d", round%2))
		for range 40 {
			w.run(tick, noDelay)
			for id, h := range w.hosts {
				if m := h.Member; m != nil && m.State == registry.Joining {
					require.LessOrEqual(t, m.ReadyAt.Sub(w.now), time.Second, id+" loads weights while its group waits")
				}
			}
		}
	}
	require.Empty(t, w.servers.Violations)
	require.GreaterOrEqual(t, w.openGroups("large")+w.openGroups("small"), 3)
}

// A member of an open group crashes; the group must serve again with a staged
// spare.
func TestCrashedMemberIsReplacedByStagedSpare(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	var member string
	for _, id := range w.hostIDs() {
		if m := w.hosts[id].Member; m != nil && m.Model == "large" && m.State == registry.Ready {
			member = id
		}
	}
	w.crash(member)
	w.run(6500*time.Millisecond, noDelay)
	require.Equal(t, 2, w.openGroups("large"))
	require.Empty(t, w.servers.Violations)
}

// Guards against reusing the members of a leader that is unreachable but still
// runs, cut off from the store and the controller. Its members leave, but may
// join another group only once the leader must have broken.
func TestMembersOfAnUnreachableLeaderWaitUntilItIsBroken(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	ids := sortedIDs(w.records)
	g, err := formation.DecodeGroup(w.records[ids[0]], w.now)
	require.NoError(t, err)
	w.hosts[g.Members[0].ID].isolated = true
	w.run(20*time.Second, noDelay)
	require.Empty(t, w.servers.Violations)
	require.NotContains(t, w.records, ids[0])
	for _, member := range g.Members[1:] {
		m := w.hosts[member.ID].Member
		require.False(t, m != nil && m.Group == g.ID, "%s has left", member.ID)
	}
	require.Equal(t, 2, w.openGroups("large"))
}

// Guards against two serving groups that share a member. A crash between two
// store writes left records of both, as seen in a simulated day with a zone cut
// followed by a power loss of all entry processes. Only the newer group may serve
// again.
func TestOfTwoRecordedGroupsWithOneMemberOnlyTheNewerServes(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	ids := sortedIDs(w.records)
	older, err := formation.DecodeGroup(w.records[ids[len(ids)-1]], w.now)
	require.NoError(t, err)
	w.apply(formation.Order{Server: older.Members[0].ID, Operation: formation.Close, Group: older.ID})
	member := older.Members[1]
	var spare registry.Incarnation
	for _, id := range w.hostIDs() {
		if h := w.hosts[id]; h.Member == nil && h.Domain == w.hosts[member.ID].Domain {
			spare = registry.Incarnation{ID: id, StartTime: h.StartTime}
		}
	}
	newer := formation.NewGroup(registry.GroupID{Name: "newer", Epoch: older.ID.Epoch + 1}, older.Model,
		[]registry.Incarnation{spare, member}, w.now)
	w.records[newer.ID] = formation.EncodeGroup(newer)
	w.newController()
	w.run(10*time.Second, noDelay)
	require.Empty(t, w.servers.Violations)
	require.Equal(t, 4, w.openGroups("small"))
	require.NotContains(t, w.records, older.ID)
}

// Checks the two invariants of the package under crashes, restarts under the
// same ID, cuts from the store, delayed orders, lost store writes, and changes
// of the controller while orders are in progress.
func TestGroupInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playRandomFaults(t, newSimulation(12)) })
}

// The same with groups of one member, whose leader no member can stop by leaving.
func TestGroupInvariantsHoldForGroupsOfOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(12)
		w.engine.Models[1].GroupSize = 1
		playRandomFaults(t, w)
	})
}

func playRandomFaults(t *rapid.T, w *simulation) {
	delayOrders := 0
	delay := func() time.Duration {
		if delayOrders == 0 || !rapid.Bool().Draw(t, "late") {
			return 0
		}
		return time.Duration(rapid.IntRange(500, 8000).Draw(t, "by-ms")) * time.Millisecond
	}
	for range 60 {
		ids := w.hostIDs()
		id := rapid.SampledFrom(ids).Draw(t, "host")
		h := w.hosts[id]
		switch rapid.IntRange(0, 12).Draw(t, "event") {
		case 0, 1:
			w.crash(id)
		case 2:
			if !h.Alive {
				w.restart(id)
			}
		case 3:
			w.crash(id)
			w.restart(id)
		case 4:
			h.cutFromStore = !h.cutFromStore
		case 5:
			w.newController()
		case 6:
			delayOrders = 1 - delayOrders
		case 7:
			w.storeWritable = !w.storeWritable
		case 8:
			h.isolated = !h.isolated
		default:
		}
		w.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "ticks"))*tick, delay)
		require.Empty(t, w.servers.Violations, strings.Join(w.trace, "\n"))
	}
	w.repairAll()
	w.run(time.Minute, noDelay)
	require.Empty(t, w.servers.Violations)
	require.Positive(t, w.openGroups("large"))
	require.Positive(t, w.openGroups("small"))
}
