package grouping_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 300)) }

// memoryTable is a platform table in memory.
type memoryTable struct {
	version int64
	byKey   map[string]platform.Row
}

func (m *memoryTable) commit(txn platform.Transaction) {
	for _, c := range txn.Compares {
		if m.byKey[c.Key].Version != c.Version {
			return
		}
	}
	m.version++
	for _, p := range txn.Puts {
		m.byKey[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: m.version}
	}
	for _, key := range txn.Deletes {
		delete(m.byKey, key)
	}
}

func (m *memoryTable) view(t require.TestingT, instances map[string]platform.Instance) grouping.View {
	v := grouping.View{
		Zone: "z", Instances: instances,
		Groups: make(map[string]grouping.GroupRow), Assignments: make(map[string]grouping.AssignmentRow),
	}
	for key, row := range m.byKey {
		if key[0] == 'g' {
			g, err := grouping.DecodeGroup(row)
			require.NoError(t, err)
			v.Groups[g.Name] = g
			continue
		}
		a, err := grouping.DecodeAssignment(row)
		require.NoError(t, err)
		v.Assignments[a.Instance] = a
	}
	return v
}

func instances(domains, each int) map[string]platform.Instance {
	all := make(map[string]platform.Instance)
	for d := range domains {
		for i := range each {
			name := fmt.Sprintf("i%d-%d", d, i)
			all[name] = platform.Instance{Name: name, Zone: "z", FabricDomain: fmt.Sprintf("d%d", d), Address: name}
		}
	}
	return all
}

// TestPromiseInstanceInOneGroup checks that no instance gets into two groups and
// that no instance's generation decreases. Entries form, repair and dissolve
// groups from stale views and race with each other.
func TestPromiseInstanceInOneGroup(t *testing.T) {
	all := instances(3, 5)
	usable := func(string) bool { return true }
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		table := &memoryTable{byKey: make(map[string]platform.Row)}
		planner := grouping.NewPlanner(grouping.PlacementWeights{Downtime: 1, Stranded: 1, SparesPerDomain: 1})
		views := []grouping.View{table.view(rt, all), table.view(rt, all), table.view(rt, all)}
		generations := make(map[string]uint64)
		for i := range 80 {
			n := rng.IntN(len(views))
			view := views[n]
			name := fmt.Sprintf("g%d", rng.IntN(5))
			row, exists := view.Groups[name]
			attempt := fmt.Sprint(i)
			switch {
			case rng.IntN(3) == 0: // the entry reads the table again
				views[n] = table.view(rt, all)
			case !exists:
				if members, ok := planner.SelectInstances(2, view.Domains("s", usable)); ok {
					after := grouping.Group{Name: name, Zone: "z", Domain: members[0].FabricDomain, Attempt: attempt}
					for _, m := range members {
						after.Members = append(after.Members, grouping.MemberOf(m))
					}
					after.Generation = view.NextGeneration(grouping.Group{}, after.Members)
					table.commit(view.Transaction(grouping.Change{After: after}))
				}
			case rng.IntN(4) == 0:
				table.commit(view.DissolveTransaction(row, attempt))
			default: // a member is replaced
				missing := []string{row.Members[rng.IntN(2)].Instance}
				for _, d := range view.Domains("s", usable) {
					members, ok := grouping.ReplaceMembers(row.Group, missing, d.Free)
					if d.Name != row.Domain || !ok {
						continue
					}
					after := row.Group
					after.Members, after.Attempt = members, attempt
					after.Generation = view.NextGeneration(row.Group, members)
					table.commit(view.Transaction(grouping.Change{Before: row, After: after, Removed: missing}))
				}
			}
			if rng.IntN(4) == 0 { // end the quarantine of all instances in the view
				for _, a := range view.Assignments {
					if a.Quarantined {
						table.commit(grouping.UnquarantineTransaction(a, attempt))
					}
				}
			}
			requireOneGroupPerInstance(rt, table.view(rt, all), generations)
		}
	})
}

func requireOneGroupPerInstance(t require.TestingT, v grouping.View, generations map[string]uint64) {
	groupOf := make(map[string]string)
	for _, g := range v.Groups {
		require.Len(t, g.Members, 2)
		for _, m := range g.Members {
			require.Empty(t, groupOf[m.Instance], "instance %s is in two groups", m.Instance)
			groupOf[m.Instance] = g.Name
			require.Equal(t, g.Domain, v.Instances[m.Instance].FabricDomain)
			require.Equal(t, g.Name, v.Assignments[m.Instance].Group)
			require.Equal(t, g.Generation, v.Assignments[m.Instance].Generation)
		}
	}
	for name, a := range v.Assignments {
		require.GreaterOrEqual(t, a.Generation, generations[name])
		generations[name] = a.Generation
		if a.Group != "" {
			require.Equal(t, a.Group, groupOf[name])
		}
	}
}

// TestPromiseIncompleteGroupGetsNoPermit checks that a group with a missing member
// is not complete after ProbeMaxAge, nor after its first failed probe. Results of
// probes arrive delayed and out of order.
func TestPromiseIncompleteGroupGetsNoPermit(t *testing.T) {
	g := grouping.Group{Name: "g", Generation: 2, Members: []grouping.Member{{Instance: "a"}, {Instance: "b"}}}
	inPlace := engine.Health{State: engine.Warm, Group: "g", Generation: 2}
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		now := time.Unix(1000, 0)
		m := grouping.NewMonitor(g)
		missingSince := time.Time{}
		failed := false
		for range 60 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			if missingSince.IsZero() && rng.IntN(15) == 0 {
				missingSince = now
			}
			sentAt := now.Add(-time.Duration(rng.IntN(300)) * time.Millisecond)
			switch rng.IntN(3) {
			case 0:
				m.RecordAnswer(sentAt, "a", inPlace)
			case 1:
				if missingSince.IsZero() || sentAt.Before(missingSince) {
					m.RecordAnswer(sentAt, "b", inPlace)
				} else if rng.IntN(2) == 0 {
					m.RecordFailure(sentAt, "b")
					failed = true
				}
			}
			status := m.Status(now)
			if failed || !missingSince.IsZero() && now.Sub(missingSince) >= grouping.ProbeMaxAge {
				require.False(rt, status.Complete)
			}
			if status.Complete {
				require.Less(rt, now.Sub(status.OldestProbe), grouping.ProbeMaxAge)
			}
		}
	})
}

// TestALateAnswerDoesNotUndoANewerFailure checks that an answer to a probe sent
// before a failed one does not make the group complete. The property test above
// found this at rapid seed 21469439.
func TestALateAnswerDoesNotUndoANewerFailure(t *testing.T) {
	g := grouping.Group{Name: "g", Generation: 2, Members: []grouping.Member{{Instance: "a"}}}
	m := grouping.NewMonitor(g)
	inPlace := engine.Health{State: engine.Warm, Group: "g", Generation: 2}
	now := time.Unix(1000, 0)
	m.RecordFailure(now, "a")
	m.RecordAnswer(now.Add(-100*time.Millisecond), "a", inPlace)
	require.False(t, m.Status(now).Complete)
	m.RecordAnswer(now.Add(100*time.Millisecond), "a", inPlace)
	require.True(t, m.Status(now.Add(100*time.Millisecond)).Complete)
}

func TestAMisplacedMemberNeedsAnOrder(t *testing.T) {
	g := grouping.Group{Name: "g", Generation: 2, Members: []grouping.Member{{Instance: "a"}, {Instance: "b"}}}
	m := grouping.NewMonitor(g)
	now := time.Unix(1000, 0)
	m.RecordAnswer(now, "a", engine.Health{State: engine.Warm, Group: "g", Generation: 2})
	m.RecordAnswer(now, "b", engine.Health{State: engine.Idle})
	require.False(t, m.Status(now).Complete)
	require.Equal(t, []int{1}, m.Misplaced())
	m.RecordAnswer(now, "b", engine.Health{State: engine.Loading, Group: "g", Generation: 2})
	require.Empty(t, m.Misplaced())
	require.False(t, m.Status(now).Complete)
	m.RecordAnswer(now, "b", engine.Health{State: engine.Cold, Group: "g", Generation: 2})
	require.True(t, m.Status(now).Complete)
	require.True(t, m.Status(now).Cold)
	m.RecordAnswer(now, "a", engine.Health{State: engine.Warm, Group: "g", Generation: 3})
	require.True(t, m.Status(now).Superseded)
	require.False(t, m.Status(now).Complete)
}

func TestAMemberThatAnswersAgainNeedsAnOrder(t *testing.T) {
	g := grouping.Group{Name: "g", Generation: 2, Members: []grouping.Member{{Instance: "a"}}}
	m := grouping.NewMonitor(g)
	now := time.Unix(1000, 0)
	m.RecordFailure(now, "a")
	require.Empty(t, m.Misplaced())
	require.Equal(t, []string{"a"}, m.Missing(now.Add(time.Minute), time.Second))
	m.RecordAnswer(now.Add(time.Minute), "a", engine.Health{State: engine.Idle})
	require.Equal(t, []int{0}, m.Misplaced())
	require.Empty(t, m.Missing(now.Add(2*time.Minute), time.Second))
}
