package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// Guards against an uneven start: the servers register one domain after the other,
// with a pause of 0.7 s before the last three. Groups that are planned in the pause
// put both large ones in one domain, which has no spare for them then.
func TestServersThatRegisterSlowlyAreSpreadEvenly(t *testing.T) {
	w := newSimulation(18)
	w.engine.Models = []routes.Model{
		{Name: "large", GroupSize: 4, InitialShare: 0.57, LoadTime: 3 * time.Second, WarmTime: time.Second},
		{Name: "small", GroupSize: 3, InitialShare: 0.43, LoadTime: 2 * time.Second, WarmTime: time.Second},
	}
	w.reg = registry.New(func(_, _ *registry.Server) {})
	w.newController()
	w.controller.SetBootstrapping(true)
	at := w.now
	for _, domain := range []string{"d0", "d1"} {
		registered := 0
		for _, id := range w.hostIDs() {
			if h := w.hosts[id]; h.Domain == domain {
				if domain == "d1" && registered == 6 {
					at = at.Add(700 * time.Millisecond)
				}
				at = at.Add(tick)
				h.reregisterAt = at
				registered++
			}
		}
	}
	w.run(10*time.Second, noDelay)
	requireSpread(t, w, map[string]int{"large": 1, "small": 1}, map[string]int{"large": 1, "small": 1})
}

// Guards against servers that register one by one for minutes: the groups are
// planned with those that are there.
func TestSlowRegistrationDelaysTheFirstGroupsOnlyForSeconds(t *testing.T) {
	w := newSimulation(20)
	w.reg = registry.New(func(_, _ *registry.Server) {})
	w.newController()
	w.controller.SetBootstrapping(true)
	for i, id := range w.hostIDs() {
		w.hosts[id].reregisterAt = w.now.Add(time.Duration(i) * 800 * time.Millisecond)
	}
	w.run(10*time.Second, noDelay)
	require.Positive(t, w.openGroups("large")+w.openGroups("small"))
}
