package formation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	drain = 3 * time.Second
	// sendTime is how long entries send to a leader without a record.
	sendTime = 1800 * time.Millisecond
)

// newZone returns a zone of 74 servers in two domains, with groups of 16 and of 4.
func newZone(drain time.Duration) *simulation {
	w := newSimulation(74)
	w.drain = drain
	w.engine.Models = []routes.Model{
		{Name: "large", GroupSize: 16, InitialShare: 0.6, LoadTime: 3 * time.Second, WarmTime: time.Second},
		{Name: "small", GroupSize: 4, InitialShare: 0.4, LoadTime: 2 * time.Second, WarmTime: time.Second},
	}
	w.newController()
	w.controller.SetBootstrapping(true)
	w.run(10*time.Second, noDelay)
	w.controller.SetBootstrapping(false)
	return w
}

// usableGroups counts the groups of the model that are complete, open and get requests.
func (w *simulation) usableGroups(model string) int {
	v := w.reg.View()
	n := 0
	for id, h := range w.hosts {
		goneSince, gone := v.GoneSince[id]
		if h.Alive && h.Member != nil && h.Member.State == registry.Open && h.Member.Model == model && w.servers.Complete(h.Member) &&
			(!gone || (w.drain > 0 && w.now.Sub(goneSince) < sendTime)) {
			n++
		}
	}
	return n
}

// fewestUsable runs the simulation and returns the lowest number of usable groups of
// each model.
func (w *simulation) fewestUsable(d time.Duration) map[string]int {
	fewest := map[string]int{"large": w.usableGroups("large"), "small": w.usableGroups("small")}
	for range int(d / tick) {
		w.run(tick, noDelay)
		for model := range fewest {
			fewest[model] = min(fewest[model], w.usableGroups(model))
		}
	}
	return fewest
}

// cutTenth cuts a tenth of the servers from the store, or ends the cut. Their records are
// back one heartbeat interval later.
func (w *simulation) cutTenth(cut bool) {
	for i, id := range w.hostIDs() {
		if i%11 == 3 { // 7 of 74, in both domains
			w.hosts[id].cutFromStore = cut
			if !cut {
				w.hosts[id].reregisterAt = w.now.Add(1200 * time.Millisecond)
			}
		}
	}
}

// A tenth of the servers loses the store for 5 s while requests still reach them. All
// groups go on, whereas without a drain time most of them close within two seconds. The
// same holds if the controller is replaced meanwhile.
func TestPatternATenthOfTheServersLosesTheStore(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for _, drain := range []time.Duration{0, drain} {
			w := newZone(drain)
			before := map[string]int{"large": w.openGroups("large"), "small": w.openGroups("small")}
			w.cutTenth(true)
			first := w.fewestUsable(4 * time.Second)
			if replaced {
				w.newController()
			}
			fewest := w.fewestUsable(time.Second)
			w.cutTenth(false)
			last := w.fewestUsable(20 * time.Second)
			for model := range before {
				fewest[model] = min(fewest[model], first[model], last[model])
			}
			t.Logf("drain %s, controller replaced %v: groups before %v, fewest %v", drain, replaced, before, fewest)
			require.Empty(t, w.servers.Violations)
			if drain == 0 {
				require.Zero(t, fewest["large"], "the pattern shows the fault")
			} else {
				for model, n := range before {
					require.GreaterOrEqual(t, 2*fewest[model], n, "%s\n%s", model, strings.Join(w.trace, "\n"))
				}
				require.Equal(t, before, map[string]int{"large": w.openGroups("large"), "small": w.openGroups("small")})
			}
		}
	}
}

// The invariants of the package also hold while groups with members without records are
// kept.
func TestGroupInvariantsHoldWhileMembersWithoutRecordsAreKept(t *testing.T) {
	for _, size := range []int{1, 2} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(12)
				w.drain = drain
				w.engine.Models[1].GroupSize = size
				w.newController()
				playRandomFaults(t, w)
			})
		})
	}
}
