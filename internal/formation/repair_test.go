package formation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// largeGroup returns the recorded group of the model "large" in the domain "d0".
func (w *simulation) largeGroup(t *testing.T) *formation.Group {
	t.Helper()
	for _, id := range sortedIDs(w.records) {
		g, err := formation.DecodeGroup(w.records[id], w.now)
		require.NoError(t, err)
		if g.Model == "large" && w.hosts[g.Members[0].ID].Domain == "d0" {
			return g
		}
	}
	require.Fail(t, "no group of the model in d0")
	return nil
}

// Guards against a long shortage after a change of the controller: the members of a
// group whose leader was seen open are free as soon as the leader must have broken,
// also if the earlier controller ordered the group to open.
func TestMembersOfALostLeaderAreSoonFreeAfterAChangeOfTheController(t *testing.T) {
	w := newSimulation(20)
	w.run(10*time.Second, noDelay)
	w.newController()
	w.run(time.Second, noDelay)
	g := w.largeGroup(t)
	w.crash(g.Members[0].ID)
	w.run(brokenAfter+2*time.Second, noDelay)
	require.NotContains(t, w.records, g.ID, strings.Join(w.trace, "\n"))
	require.Empty(t, w.servers.Violations)
}

// Guards against a load that does not help: a group has lost its leader and its
// domain's spare is used up. While its three survivors wait, one of the domain's
// free servers must load the model that they need one more server for, although
// that model has no running group in the domain.
func TestAFreeServerLoadsTheModelThatSurvivorsNeed(t *testing.T) {
	w := newSimulation(20)
	w.controller.SetBootstrapping(true)
	w.run(10*time.Second, noDelay)
	w.controller.SetBootstrapping(false)
	w.crash(w.largeGroup(t).Members[1].ID)
	w.run(4*time.Second, noDelay)
	w.crash(w.largeGroup(t).Members[0].ID)
	w.run(time.Second, noDelay)
	w.add("n0", "d0")
	w.run(2*time.Second, noDelay)
	loaded := 0
	for _, h := range w.hosts {
		if h.Domain == "d0" && h.Alive && h.Member == nil && h.Staged == "large" {
			loaded++
		}
	}
	require.Equal(t, 4, loaded, strings.Join(w.trace, "\n"))
	w.run(8*time.Second, noDelay)
	require.Equal(t, registry.Open, w.hosts[w.largeGroup(t).Members[0].ID].Member.State)
	require.Empty(t, w.servers.Violations)
}
