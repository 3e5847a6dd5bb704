package formation_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
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
	z.takeOver()
	w.controller.SetBootstrapping(true)
	z.play(40 * time.Second)
	w.controller.SetBootstrapping(false)
	z.started = w.now
	return z
}

// takeOver replaces the controller by one of another entry.
func (z *zoneLoad) takeOver() {
	z.term++
	var recorded []*formation.Group
	for _, id := range sortedIDs(z.records) {
		g, err := formation.DecodeGroup(z.records[id], z.now)
		if err != nil {
			panic(err)
		}
		recorded = append(recorded, g)
	}
	z.controller = formation.NewController(zone, []string{zone, "b", "c"}, z.term, brokenAfter, recorded)
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
		z.met[model] += min(float64(z.openGroups(model))/max(work, 0.001), 1)
		r := demand.Request{Model: model, PromptTokens: 700, ResponseTokens: 217, Timeout: 5 * time.Second}
		z.arrived[model] += work * tick.Seconds() / z.engine.Work(model, r.PromptTokens, r.ResponseTokens)
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
		LoadsPerSecond: 18, MaxConcurrentLoads: 27,
		Models: []routes.Model{
			{Name: "m0", GroupSize: sizes[0], InitialShare: m0Share, TimeScale: 1},
			{Name: "m1", GroupSize: sizes[1], InitialShare: 1 - m0Share, TimeScale: 0.6},
		},
	}
}

func constant(m0, m1 float64) func(time.Duration) map[string]float64 {
	return func(time.Duration) map[string]float64 { return map[string]float64{"m0": m0, "m1": m1} }
}

// The pattern of 74 servers of which the initial shares keep a fifth as spares, while
// four fifths of the requests want the model with a third of the servers, and two
// servers of groups are lost every 9 s. Plans by share and by demand run beside each
// other.
func TestGroupsFollowADemandThatDiffersFromTheInitialShares(t *testing.T) {
	shares := map[string]float64{}
	for _, byDemand := range []bool{false, true} {
		z := newZoneLoad(2, 37, bigEngine(0.53, 16, 4), constant(0.9, 9))
		z.silent = !byDemand
		require.Equal(t, 2, z.openGroups("m0"))
		require.Equal(t, 7, z.openGroups("m1"))
		z.play(4 * time.Second)
		if byDemand {
			require.GreaterOrEqual(t, z.openGroups("m1"), 8, "spares with the weights serve soon after the first requests")
		}
		for range 13 {
			z.play(9 * time.Second)
			z.replaceGrouped(2)
		}
		shares[fmt.Sprintf("m0 %v", byDemand)], shares[fmt.Sprintf("m1 %v", byDemand)] = z.share("m0"), z.share("m1")
		require.Empty(t, z.servers.Violations)
		require.LessOrEqual(t, z.mostLoads, 9, "a third of the loads that run at full speed")
		t.Logf("by demand %v: %d and %d groups at the end", byDemand, z.openGroups("m0"), z.openGroups("m1"))
		if testing.Verbose() {
			t.Log(strings.Join(slices.DeleteFunc(z.trace, func(s string) bool { return !strings.Contains(s, "group") }), "\n"))
		}
	}
	t.Log(shares)
	require.Greater(t, shares["m1 true"], shares["m1 false"]+0.15)
	require.Greater(t, shares["m0 true"], 0.9)
}

var _ = math.Pi
var _ registry.GroupID
