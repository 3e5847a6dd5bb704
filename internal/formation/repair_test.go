package formation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
)

// largeGroup returns the recorded group of the model "large" in a domain.
func (w *simulation) largeGroup(t *testing.T, domain string) *formation.Group {
	t.Helper()
	for _, id := range sortedIDs(w.records) {
		g, err := formation.DecodeGroup(w.records[id], w.now)
		require.NoError(t, err)
		if g.Model == "large" && w.hosts[g.Members[0].ID].Domain == domain {
			return g
		}
	}
	require.Fail(t, "no group of the model in "+domain)
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
	g := w.largeGroup(t, "d0")
	w.crash(g.Members[0].ID)
	w.run(brokenAfter+2*time.Second, noDelay)
	require.NotContains(t, w.records, g.ID, strings.Join(w.trace, "\n"))
	require.Empty(t, w.servers.Violations)
}
