package formation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// zoneLoad is one zone of a deployment of three, with the requests that arrive there.
type zoneLoad struct {
	*simulation
	meter *demand.Meter
	// work returns the group-seconds per second of each model at a time after the
	// first request.
	work    func(after time.Duration) map[string]float64
	arrived map[string]float64
	// stages holds the models that servers load, and until when.
	stages map[string]stage
	// silent stops the reports of the demand.
	silent bool
	// mostLoads is the largest number of loads at one time.
	mostLoads int
	started   time.Time
	added     int
	// met sums up the part of each model's work that its open groups can take, and
	// ticks counts its terms.
	met   map[string]float64
	ticks float64
}

type stage struct {
	model string
	until time.Time
}

// newZoneLoad returns a zone in which the groups of the first start serve. domainSize
// servers are in each of the domains.
func newZoneLoad(domains, domainSize int, e *routes.Engine, work func(time.Duration) map[string]float64) *zoneLoad {
	w := newSimulation(0)
	w.engine = e
	w.servers.Timing = standin.HostTiming{
		Load: 14 * time.Second, Warm: 1300 * time.Millisecond, Reconnect: 300 * time.Millisecond, Open: 300 * time.Millisecond, BrokenAfter: brokenAfter,
	}
	z := &zoneLoad{
		simulation: w, meter: demand.NewMeter(), work: work,
		arrived: map[string]float64{}, stages: map[string]stage{}, met: map[string]float64{},
	}
	for i := range domains * domainSize {
		w.add(fmt.Sprintf("s%03d", i), fmt.Sprintf("d%d", i%domains))
	}
	w.newController()
	w.controller.SetBootstrapping(true)
	z.play(40 * time.Second)
	w.controller.SetBootstrapping(false)
	z.started = w.now
	return z
}

// play runs the zone for d.
func (z *zoneLoad) play(d time.Duration) {
	for range int(d / tick) {
		z.advance()
		for id, s := range z.stages {
			if !z.now.Before(s.until) {
				z.hosts[id].Staged = s.model
				delete(z.stages, id)
			}
		}
		z.publish()
		if !z.started.IsZero() {
			z.arrive()
		}
		z.decide()
	}
}

// arrive records the requests of one tick, and what the open groups can take of them.
func (z *zoneLoad) arrive() {
	z.ticks++
	for model, work := range z.work(z.now.Sub(z.started)) {
		z.met[model] += min(float64(z.openGroups(model))*0.75/max(work, 0.001), 1)
		r := demand.Request{Model: model, PromptTokens: 700, ResponseTokens: 217, Timeout: 5 * time.Second}
		if z.engine.Timed() {
			z.arrived[model] += work * tick.Seconds() / z.engine.Work(model, r.PromptTokens, r.ResponseTokens)
		}
		for ; z.arrived[model] >= 1; z.arrived[model]-- {
			z.meter.Record(z.now, z.engine, r)
		}
	}
	if !z.silent {
		z.controller.SetDemand(z.now, formation.Demand{Rates: z.meter.Rates(z.now)})
	}
}

// decide runs a step of the controller. Unlike in a simulation, loads take their time.
func (z *zoneLoad) decide() {
	d := z.controller.Step(z.now, z.reg.View(), service, z.engine, z.probe)
	for _, g := range d.NewGroups {
		z.records[g.ID] = formation.EncodeGroup(g)
		z.controller.HandleRecorded(g.ID, z.now)
	}
	for _, id := range d.ObsoleteRecords {
		delete(z.records, id)
	}
	z.controller.HandleRecordsDeleted(d.ObsoleteRecords)
	for _, c := range d.PhaseChanges {
		z.tracef("group %s of %s %s: %s", c.Group.Name, c.Model, c.Phase, c.Reason)
	}
	for _, o := range d.Orders {
		outcome := formation.Begun
		if o.Operation == formation.Stage {
			z.tracef("stage group %s at %s which has %q", o.Model, o.Server, z.hosts[o.Server].Staged)
			z.stages[o.Server] = stage{o.Model, z.now.Add(z.servers.Timing.Load)}
		} else {
			outcome = z.apply(o)
		}
		z.controller.HandleOutcome(o, z.hosts[o.Server].StartTime, outcome, z.now)
	}
	if !z.started.IsZero() {
		z.mostLoads = max(z.mostLoads, len(z.stages))
	}
}

// replaceGrouped ends servers of groups, and adds as many empty ones.
func (z *zoneLoad) replaceGrouped(n int) {
	for _, id := range z.hostIDs() {
		h := z.hosts[id]
		// The numbers of the servers spread the losses over the groups.
		if n > 0 && h.Alive && h.Member != nil && (int(h.StartTime)*7+z.added)%5 == 0 {
			z.crash(id)
			delete(z.stages, id)
			z.added++
			z.add(fmt.Sprintf("n%03d", z.added), h.Domain)
			n--
		}
	}
}

// share returns the mean part of a model's work that its groups could take.
func (z *zoneLoad) share(model string) float64 { return z.met[model] / z.ticks }

func bigEngine(m0Share float64, sizes ...int) *routes.Engine {
	return &routes.Engine{
		Slots: 30, StepTime: 5950 * time.Microsecond, SequenceTime: 44500 * time.Nanosecond, PrefillRate: 50700,
		LoadsPerSecond: 6, MaxConcurrentLoads: 9, // a third of the deployment's
		Models: []routes.Model{
			{Name: "m0", GroupSize: sizes[0], InitialShare: m0Share, TimeScale: 1},
			{Name: "m1", GroupSize: sizes[1], InitialShare: 1 - m0Share, TimeScale: 0.6},
		},
	}
}

// mostlyM1 is the work of a zone whose requests want mostly m1.
func mostlyM1(m0 float64) func(time.Duration) map[string]float64 {
	return func(time.Duration) map[string]float64 { return map[string]float64{"m0": m0, "m1": 9} }
}

// givenUp returns how many groups were given up for another model.
func (z *zoneLoad) givenUp() int {
	return strings.Count(strings.Join(z.trace, "\n"), "its servers are needed for the model")
}

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
			return map[string]float64{"m0": 2.4, "m1": 3}
		}
		return map[string]float64{"m0": 0.8, "m1": 9}
	}
	z := newZoneLoad(3, 18, bigEngine(0.6, 8, 2), wave)
	z.play(2 * time.Minute)
	require.Zero(t, z.givenUp(), strings.Join(z.trace, "\n"))
	require.Empty(t, z.servers.Violations)
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
