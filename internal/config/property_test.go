package config_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/seeded"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 300)) }

// history returns accepted changes 1 to n: zones that go out and come back.
func history(n int) []operator.Change {
	changes := make([]operator.Change, 0, n)
	for i := range n {
		name := fmt.Sprintf("z%d", i%3)
		changes = append(changes, operator.Change{
			Revision: uint64(i + 1), Author: "a", Reason: "r", Kind: operator.KindZone, Name: name,
			Zone: &operator.Zone{Name: name, Out: i%2 == 0},
		})
	}
	return changes
}

func at(t require.TestingT, changes []operator.Change, revision int) *config.State {
	s := config.NewState()
	for _, c := range changes[:revision] {
		next, err := s.Apply(c)
		require.NoError(t, err)
		s = next
	}
	return s
}

// TestPromiseConfigurationNeverReverts: entries that hear of changes late, out
// of order, from stale peers or by snapshots never go back, and always show
// exactly what the accepted changes up to their revision say.
func TestPromiseConfigurationNeverReverts(t *testing.T) {
	const revisions = 40
	changes := history(revisions)
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		logs := []*config.Log{config.NewLog(), config.NewLog(), config.NewLog()}
		for range 100 {
			l := logs[rng.IntN(len(logs))]
			before := l.State().Revision()
			switch rng.IntN(4) {
			case 0: // changes from the table, any piece of it
				from := rng.IntN(revisions)
				l.ApplyChanges(changes[from : from+rng.IntN(revisions-from)])
			case 1: // a snapshot, however old
				revision := rng.IntN(revisions)
				state, err := config.DecodeSnapshot(config.EncodeSnapshot(at(rt, changes, revision)))
				require.NoError(rt, err)
				l.AdoptSnapshot(state)
			default: // a pull from a peer, however stale
				other := logs[rng.IntN(len(logs))]
				if missing, complete := other.ChangesAfter(before); complete {
					l.ApplyChanges(missing)
				} else {
					l.AdoptSnapshot(config.Restore(other.State().Revision(), other.State().Snapshot()))
				}
			}
			now := l.State()
			require.GreaterOrEqual(rt, now.Revision(), before)
			want := at(rt, changes, int(now.Revision()))
			require.Equal(rt, want.Zones(), now.Zones())
			require.Equal(rt, want.Snapshot(), now.Snapshot())
		}
	})
}

func TestConflictNamesTheChangeThatCameFirst(t *testing.T) {
	s := at(t, history(4), 4)
	mine := operator.Change{Base: 0, Kind: operator.KindZone, Name: "z0"}
	first, conflicts := s.Conflict(mine)
	require.True(t, conflicts)
	require.Equal(t, uint64(4), first.Revision)
	mine.Base = 4
	_, conflicts = s.Conflict(mine)
	require.False(t, conflicts)
	_, conflicts = s.Conflict(operator.Change{Kind: operator.KindZone, Name: "new"})
	require.False(t, conflicts)
}

func TestCheckReportsAllProblems(t *testing.T) {
	problems := config.NewState().Check(operator.Change{
		Kind: operator.KindService, Name: "no good",
		Service: &operator.Service{Kind: operator.ModelService, Slots: 2, ColdLimit: 4},
	})
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	require.Equal(t, []string{"name", "author", "group-size", "cold-limit"}, fields)
	exception := operator.Change{
		Author: "a", Kind: operator.KindException, Name: "x",
		Exception: &operator.Exception{Organisation: "o", Setting: operator.SettingWeight, Value: 1},
	}
	require.Len(t, config.NewState().Check(exception), 2, "no reason and no such organisation")
}

// TestPromiseOrdersConvergeAndGiveWay: provisional orders that spread in any
// order leave all entries with the same view, never touch the revision, and
// end when the table holds a later change of the same entity.
func TestPromiseOrdersConvergeAndGiveWay(t *testing.T) {
	const revisions = 12
	changes := history(revisions)
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		logs := []*config.Log{config.NewLog(), config.NewLog(), config.NewLog()}
		for i := range 40 {
			l := logs[rng.IntN(len(logs))]
			before := l.State().Revision()
			switch rng.IntN(3) {
			case 0:
				name := fmt.Sprintf("z%d", rng.IntN(3))
				l.CreateProvisional(operator.Change{
					Base: l.Committed().Revision(), Attempt: fmt.Sprint(i), Kind: operator.KindZone, Name: name,
					Zone: &operator.Zone{Name: name, Out: rng.IntN(2) == 0},
				})
			case 1:
				l.AddProvisional(logs[rng.IntN(len(logs))].ProvisionalOrders())
			default:
				l.ApplyChanges(changes[:rng.IntN(revisions-3)])
				continue
			}
			require.Equal(rt, before, l.State().Revision())
		}
		for range 2 {
			for _, l := range logs {
				l.ApplyChanges(changes[:revisions-3])
				for _, other := range logs {
					l.AddProvisional(other.ProvisionalOrders())
				}
			}
		}
		for _, l := range logs[1:] {
			require.Equal(rt, logs[0].State().Zones(), l.State().Zones())
		}
		for _, l := range logs {
			l.ApplyChanges(changes)
			require.Empty(rt, l.ProvisionalOrders(), "every zone has changed since")
			require.Equal(rt, at(rt, changes, revisions).Zones(), l.State().Zones())
		}
	})
}

func TestAnOrderThatHasEndedDisplacesNone(t *testing.T) {
	l := config.NewLog()
	l.ApplyChanges(history(1))
	order := func(number, base uint64, out bool) config.ProvisionalOrder {
		return config.ProvisionalOrder{Number: number, Change: operator.Change{
			Base: base, Kind: operator.KindZone, Name: "z0", Zone: &operator.Zone{Name: "z0", Out: out},
		}}
	}
	require.True(t, l.AddProvisional([]config.ProvisionalOrder{order(1, 1, false)}))
	require.False(t, l.State().ZoneOut("z0"))
	require.False(t, l.AddProvisional([]config.ProvisionalOrder{order(2, 0, true)}))
	require.False(t, l.State().ZoneOut("z0"))
	require.Len(t, l.ProvisionalOrders(), 1)
}
