package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// decide runs one step of the controller and returns its decision. The orders
// are not applied.
func (w *simulation) decide(v *registry.View) formation.Decision {
	return w.controller.Step(w.now, v, service, w.engine, w.probe)
}

// Guards against ending healthy groups after a power loss that ends all entry
// processes at once: the next controller holds its lease before it has read any
// server record.
func TestNothingIsDecidedBeforeTheServerRecordsWereRead(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	w.newController()
	unread := registry.New(func(_, _ *registry.Server) {}).View()
	for range 50 {
		w.now = w.now.Add(tick)
		require.Empty(t, w.decide(unread))
	}
	w.run(10*time.Second, noDelay)
	require.Len(t, w.records, 6, "the groups were taken over")
	for _, id := range sortedIDs(w.records) {
		// The first controller has term 1, the second term 2. A term has 1<<20
		// epochs, so 2<<20 is the lowest epoch of the second controller.
		require.Less(t, id.Epoch, int64(2<<20), "the groups of the first controller are kept")
	}
}

// Guards against ending healthy groups after a store outage during which the
// server records expired. The servers write their records again one after the
// other, within two seconds.
func TestRestoredGroupsWaitForExpiredRecords(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	w.newController()
	w.reg = registry.New(func(_, _ *registry.Server) {})
	for i, id := range w.hostIDs() {
		w.hosts[id].reregisterAt = w.now.Add(time.Duration(i) * tick)
	}
	w.run(10*time.Second, noDelay)
	for _, id := range sortedIDs(w.records) {
		// 2<<20 is the lowest epoch of the second controller, which has term 2.
		require.Less(t, id.Epoch, int64(2<<20), "the groups of the first controller are kept")
	}
	require.Equal(t, 2, w.openGroups("large"))
	require.Equal(t, 4, w.openGroups("small"))
}

// A member whose record is not written again counts as lost, and its group
// ends. At the end of the test, two groups of the model "large" are open.
func TestRestoredGroupWithoutMemberRecordEnds(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	w.newController()
	w.reg = registry.New(func(_, _ *registry.Server) {})
	ids := sortedIDs(w.records)
	g, err := formation.DecodeGroup(w.records[ids[0]], w.now)
	require.NoError(t, err)
	w.hosts[g.Members[1].ID].reregisterAt = w.now.Add(time.Hour)
	w.run(6*time.Second, noDelay)
	require.NotContains(t, w.records, ids[0])
	require.Equal(t, 2, w.openGroups("large"))
	require.Empty(t, w.servers.Violations)
}

// Guards against two serving groups that share a member. A process that starts again
// and takes the lease back gets its first server records from a relay that has been
// cut off from the store for seconds. In them the leader of a group that was formed
// since is in no group; the group must not be taken for over.
func TestNothingIsDecidedByRecordsOlderThanTheLease(t *testing.T) {
	w := newSimulation(20)
	old := w.reg.View() // of before the groups were formed
	w.run(10*time.Second, noDelay)
	w.newController()
	w.controller.IgnoreViewsBefore(w.now)
	for range 20 {
		w.now = w.now.Add(tick)
		require.Empty(t, w.decide(old))
	}
	w.publish()
	w.run(10*time.Second, noDelay)
	require.Empty(t, w.servers.Violations)
	require.Len(t, w.records, 6, "the groups were taken over")
	for _, id := range sortedIDs(w.records) {
		require.Less(t, id.Epoch, int64(2<<20), "the groups of the first controller are kept")
	}
}
