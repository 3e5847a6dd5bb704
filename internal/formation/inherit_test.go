package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// decide lets the steward take one step and applies its orders at once.
func (w *world) decide(v *registry.View) formation.Decision {
	return w.steward.Step(w.now, v, service, w.engine, w.contact)
}

// All entries lost power while groups served. The next steward has its lease
// before it has read the servers' entries.
func TestNothingIsDecidedBeforeTheServersEntriesWereRead(t *testing.T) {
	w := newWorld(20)
	w.run(10*time.Second, onTime)
	w.newSteward()
	unread := registry.New(func(_, _ *registry.Server) {}).View()
	for range 50 {
		w.now = w.now.Add(tick)
		require.Empty(t, w.decide(unread))
	}
	w.run(10*time.Second, onTime)
	require.Len(t, w.records, 6, "the groups were adopted")
	for _, id := range sortedIDs(w.records) {
		require.Less(t, id.Epoch, int64(2<<20), "the groups of the first steward stand")
	}
}

// The servers' entries lapsed while the store was away, too: those of the
// members come back one by one within two seconds.
func TestInheritedGroupsWaitForEntriesThatComeBack(t *testing.T) {
	w := newWorld(20)
	w.run(10*time.Second, onTime)
	w.newSteward()
	w.reg = registry.New(func(_, _ *registry.Server) {})
	for i, id := range w.hostIDs() {
		w.hosts[id].backAt = w.now.Add(time.Duration(i) * tick)
	}
	w.run(10*time.Second, onTime)
	for _, id := range sortedIDs(w.records) {
		require.Less(t, id.Epoch, int64(2<<20), "the groups of the first steward stand")
	}
	require.Equal(t, 2, w.openGroups("large"))
	require.Equal(t, 4, w.openGroups("small"))
}

// A member whose entry does not come back is taken as gone.
func TestAnInheritedGroupWithoutAMembersEntryEnds(t *testing.T) {
	w := newWorld(20)
	w.run(10*time.Second, onTime)
	w.newSteward()
	w.reg = registry.New(func(_, _ *registry.Server) {})
	ids := sortedIDs(w.records)
	g, err := formation.DecodeGroup(w.records[ids[0]], w.now)
	require.NoError(t, err)
	w.hosts[g.Members[1].ID].backAt = w.now.Add(time.Hour)
	w.run(6*time.Second, onTime)
	require.NotContains(t, w.records, ids[0])
	require.Equal(t, 2, w.openGroups("large"))
	require.Empty(t, w.servers.Broken)
}
