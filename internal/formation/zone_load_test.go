package formation_test

import (
	"fmt"
	"strings"
	"time"

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
	plan      *formation.PlanReport
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
	z.plan = d.Plan
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
