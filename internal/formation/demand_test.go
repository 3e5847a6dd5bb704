package formation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
)

// The pattern of 74 servers of which the initial shares keep a fifth as spares, while
// four fifths of the requests want the model with the fewer servers, and two servers of
// groups are lost every 9 s. Plans by share and by demand run beside each other.
func TestGroupsFollowADemandThatDiffersFromTheInitialShares(t *testing.T) {
	m0, m1 := map[bool]float64{}, map[bool]float64{}
	for _, byDemand := range []bool{false, true} {
		z := newZoneLoad(2, 37, bigEngine(0.53, 16, 4), mostlyM1(0.6))
		z.silent = !byDemand
		require.Equal(t, 2, z.openGroups("m0"))
		require.Equal(t, 7, z.openGroups("m1"))
		z.play(4 * time.Second)
		if byDemand {
			require.Equal(t, 8, z.openGroups("m1"), "spares with the weights serve soon after the first requests")
		}
		for range 13 {
			z.play(9 * time.Second)
			z.replaceGrouped(2)
		}
		m0[byDemand], m1[byDemand] = z.share("m0"), z.share("m1")
		require.Empty(t, z.servers.Violations)
		require.LessOrEqual(t, z.mostLoads, 9, "the loads that run at full speed")
		t.Logf("by demand %v: %.2f and %.2f of the demand met", byDemand, m0[byDemand], m1[byDemand])
	}
	require.Greater(t, m1[true], m1[false]+0.1)
	require.GreaterOrEqual(t, m0[true], 0.95)
}

// Guards against servers that stay with a model that nobody asks for: its groups are
// given up one after the other in each domain, and one of them stays.
func TestGroupsOfAModelWithoutDemandAreGivenUp(t *testing.T) {
	z := newZoneLoad(2, 37, bigEngine(0.85, 16, 4), mostlyM1(0.2))
	require.Equal(t, 3, z.openGroups("m0"))
	require.Equal(t, 2, z.openGroups("m1"))
	z.play(10 * time.Second)
	require.Zero(t, z.givenUp(), "the demand is not known for long enough")
	z.play(80 * time.Second)
	require.Equal(t, 2, z.givenUp(), strings.Join(z.trace, "\n"))
	require.Equal(t, 1, z.openGroups("m0"))
	require.GreaterOrEqual(t, z.openGroups("m1"), 12, strings.Join(z.trace, "\n"))
	require.LessOrEqual(t, z.mostLoads, 9)
	require.Empty(t, z.servers.Violations)
}

// Guards against a change that a new controller leaves half done, or hurries: the
// controller is replaced while a group drains that is given up.
func TestAChangeOfTheControllerWhileAGroupIsGivenUp(t *testing.T) {
	z := newZoneLoad(2, 37, bigEngine(0.85, 16, 4), mostlyM1(0.2))
	for z.givenUp() == 0 {
		z.play(tick)
		for _, h := range z.hosts {
			h.InProgress = 1 // a drain takes its longest time
		}
	}
	z.play(3 * time.Second)
	z.newController()
	before := z.givenUp()
	z.play(19 * time.Second)
	require.Equal(t, before, z.givenUp(), "the change before may have been just now")
	z.play(90 * time.Second)
	require.Equal(t, 1, z.openGroups("m0"), strings.Join(z.trace, "\n"))
	require.GreaterOrEqual(t, z.openGroups("m1"), 12)
	require.Empty(t, z.servers.Violations)
}

// Guards against groups that change their model with each wave of the traffic: the two
// models' demands swing by three to one every 13 s against each other.
func TestAWaveChangesNoGroup(t *testing.T) {
	wave := func(after time.Duration) map[string]float64 {
		high := int(after/(13*time.Second/2))%2 == 0
		if high {
			return map[string]float64{"m0": 2.1, "m1": 6.7}
		}
		return map[string]float64{"m0": 0.7, "m1": 20}
	}
	z := newZoneLoad(3, 18, bigEngine(0.6, 8, 2), wave)
	z.play(2 * time.Minute)
	require.Zero(t, z.givenUp(), strings.Join(z.trace, "\n"))
	require.Empty(t, z.servers.Violations)
}

// Guards against a plan that takes a loss of contact with the store for a loss of
// servers: a tenth of the records are away for some seconds. The spares must not load
// other weights meanwhile.
func TestMissingRecordsChangeNoTargets(t *testing.T) {
	z := newZoneLoad(2, 37, bigEngine(0.53, 16, 4), mostlyM1(1.2))
	z.play(40 * time.Second)
	targets := z.plan.Models[0].Target
	for i, id := range z.hostIDs() {
		z.hosts[id].cutFromStore = i%10 == 3
	}
	for range 100 {
		z.play(tick)
		require.Equal(t, targets, z.plan.Models[0].Target)
	}
}

// Guards against a plan by demand during a first start, and without any: the orders
// must be those of a plan by share.
func TestNoDemandAndAFirstStartLeaveThePlanAsItWas(t *testing.T) {
	played := func(bootstrapping, silent, timed bool) string {
		e := bigEngine(0.53, 16, 4)
		z := newZoneLoad(1, 37, e, mostlyM1(0.6))
		z.silent = silent
		z.controller.SetBootstrapping(bootstrapping)
		if !timed {
			e.StepTime = 0
		}
		for range 3 {
			z.play(9 * time.Second)
			z.replaceGrouped(2)
		}
		return strings.Join(z.trace, "\n")
	}
	require.Equal(t, played(true, true, true), played(true, false, true))
	require.Equal(t, played(false, true, true), played(false, false, false))
	require.NotEqual(t, played(false, true, true), played(false, false, true))
}

// Guards against a plan that gives up spares and moves groups although the initial
// shares fit the demand: more load of both models by the same factor changes nothing.
func TestADemandThatFitsTheInitialSharesLeavesThePlanAsItWas(t *testing.T) {
	played := func(silent bool) string {
		z := newZoneLoad(1, 74, bigEngine(0.53, 16, 4), func(time.Duration) map[string]float64 {
			return map[string]float64{"m0": 1.9, "m1": 6.5}
		})
		z.silent = silent
		for range 3 {
			z.play(9 * time.Second)
			z.replaceGrouped(2)
		}
		return strings.Join(z.trace, "\n")
	}
	require.Equal(t, played(true), played(false))
}

// Checks the invariants of the package under faults while groups are planned by a
// demand that changes.
func TestGroupInvariantsHoldUnderAPlanByDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(16)
		w.engine.StepTime, w.engine.PrefillRate = time.Millisecond, 1000
		large, small := 0, 0
		run := func(ticks int) {
			for range ticks {
				w.controller.SetDemand(w.now, formation.Demand{Rates: []demand.Rate{
					{Model: "large", Long: float64(large)}, {Model: "small", Long: float64(small)},
				}})
				w.run(tick, noDelay)
			}
		}
		for range 40 {
			id := rapid.SampledFrom(w.hostIDs()).Draw(t, "host")
			h := w.hosts[id]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.crash(id)
			case 1:
				w.crash(id)
				w.restart(id)
			case 2:
				h.cutFromStore = !h.cutFromStore
			case 3:
				w.newController()
			case 4:
				w.storeWritable = !w.storeWritable
			case 5:
				h.isolated = !h.isolated
			case 6:
				h.InProgress = 1 - h.InProgress
			default:
				large, small = rapid.IntRange(0, 4).Draw(t, "large"), rapid.IntRange(0, 8).Draw(t, "small")
			}
			run(rapid.IntRange(1, 60).Draw(t, "ticks"))
			require.Empty(t, w.servers.Violations, strings.Join(w.trace, "\n"))
		}
		w.repairAll()
		large, small = 1, 1
		run(600)
		require.Empty(t, w.servers.Violations)
		require.Positive(t, w.openGroups("large"), strings.Join(w.trace, "\n"))
		require.Positive(t, w.openGroups("small"), strings.Join(w.trace, "\n"))
	})
}
