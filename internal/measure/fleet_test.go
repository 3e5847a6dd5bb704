package measure_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/entry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	observeInterval     = time.Second
	fleetRate           = 24 // requests per second to the whole fleet
	targetFirstToken    = 460 * time.Millisecond
	targetBetweenTokens = 30 * time.Millisecond
	settleDuration      = 10 * time.Second
)

// serviceLevel counts all requests and those with a complete response within the
// latency targets.
type serviceLevel struct {
	requests, inTarget int
}

func (s serviceLevel) String() string {
	if s.requests == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(s.inTarget)/float64(s.requests))
}

// observer samples the state of a fleet and sends it a steady load.
type observer struct {
	ctx   context.Context
	fleet *fleet.Fleet
	// zone is the zone that the scenario affects.
	zone string

	mu        sync.Mutex
	downtime  time.Duration
	stranded  time.Duration
	inZone    serviceLevel
	elsewhere serviceLevel
	calls     sync.WaitGroup
}

// watch samples and loads the fleet for d.
func (o *observer) watch(d time.Duration) {
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(observeInterval)
			o.observe()
		}
	})
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			o.request(n)
			time.Sleep(time.Second / fleetRate)
		}
	})
	wg.Wait()
	o.calls.Wait()
}

// observe adds one sample to the downtime of groups and to the stranded time:
// that of live instances that serve nothing in a zone with a group that is down.
func (o *observer) observe() {
	open := o.openGroups()
	members := o.fleet.GroupMembers()
	serving := make(map[string]bool)
	for key, instances := range members {
		if open[key] {
			for _, i := range instances {
				serving[i] = true
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, zone := range o.fleet.Plan.Zones {
		up := 0
		for key := range members {
			if open[key] && key[len("group/"):len("group/")+len(zone)] == zone {
				up++
			}
		}
		down := o.fleet.Plan.GroupsPerZone - up
		o.downtime += time.Duration(down) * observeInterval
		if down == 0 {
			continue
		}
		for _, i := range o.fleet.Engines() {
			if i.Zone == zone && !serving[i.Name] && !i.Engine.Dead() {
				o.stranded += observeInterval
			}
		}
	}
}

// openGroups returns the row keys of the groups that are open at any entry.
func (o *observer) openGroups() map[string]bool {
	open := make(map[string]bool)
	for _, m := range o.fleet.Entries() {
		for _, name := range m.Entry.OpenGroups() {
			open[grouping.GroupKey(m.Zone, name)] = true
		}
	}
	return open
}

func (o *observer) request(n int) {
	entries := o.fleet.Entries()
	m := entries[n%len(entries)]
	o.calls.Go(func() {
		client := o.fleet.Client(m.Zone)
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(o.ctx, time.Minute)
		defer cancel()
		answer := load.NewCaller(client, fleet.Key(n%3)).Generate(ctx, "http://"+m.CallerAddress, load.Request{
			Model: fleet.ModelName, Prompt: fmt.Sprintf("bay %d", n%50), MaxTokens: 20 + n%40,
		})
		o.mu.Lock()
		defer o.mu.Unlock()
		s := &o.elsewhere
		if m.Zone == o.zone {
			s = &o.inZone
		}
		s.requests++
		if inTarget(answer) {
			s.inTarget++
		}
	})
}

func inTarget(a load.Response) bool {
	if !a.Complete || a.FirstToken > targetFirstToken {
		return false
	}
	return len(a.TokenGaps) == 0 || (a.Total-a.FirstToken)/time.Duration(len(a.TokenGaps)) <= targetBetweenTokens
}

// largeFleet returns the plan of a fleet of one current user's size: 3 zones and
// 60 replica groups. measureScenario adds two entries, for 8 in total.
func largeFleet() fleet.Plan {
	plan := fleet.DefaultPlan()
	plan.GroupsPerZone = 20
	plan.GroupSize = 4
	plan.DomainsPerZone = 4
	plan.InstancesPerDomain = 22
	plan.Speed.TokenInterval = 20 * time.Millisecond
	plan.Speed.LoadTime = 20 * time.Second
	plan.Speed.ColdTime = 20 * time.Second
	plan.LogLevel = "fatal"
	return plan
}

// scenario is a fault or an operation that is injected into an observed fleet.
type scenario struct {
	name     string
	zone     string
	duration time.Duration
	inject   func(ctx context.Context, f *fleet.Fleet)
}

var scenarios = []scenario{
	{"nothing happens", "a", 2 * time.Minute, func(context.Context, *fleet.Fleet) {}},
	{"platform out for 10 minutes", "a", 12 * time.Minute, func(_ context.Context, f *fleet.Fleet) {
		f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
		time.Sleep(10 * time.Minute)
		f.Platform.SetFaults(standin.PlatformFaults{})
	}},
	{"zone a cut off from the platform and the other zones for 5 minutes", "a", 7 * time.Minute, func(_ context.Context, f *fleet.Fleet) {
		others := []string{"b", "c", fleet.PlatformZone}
		for _, other := range others {
			f.Network.Partition("a", other)
		}
		time.Sleep(5 * time.Minute)
		for _, other := range others {
			f.Network.EndPartition("a", other)
		}
	}},
	{"zone b out for 1 minute, and in", "b", 3 * time.Minute, func(ctx context.Context, f *fleet.Fleet) {
		_ = f.SetZoneOut(ctx, f.Entries()[0], "b", true, "measurement")
		time.Sleep(time.Minute)
		_ = f.SetZoneOut(ctx, f.Entries()[0], "b", false, "measurement")
	}},
	{"a fabric domain of zone c dark for 2 minutes", "c", 5 * time.Minute, func(_ context.Context, f *fleet.Fleet) {
		set := func(faults standin.EngineFaults) {
			for _, i := range f.Engines() {
				if i.Domain == "domain-c-0" {
					i.Engine.SetFaults(faults)
				}
			}
		}
		set(standin.EngineFaults{Dead: true})
		time.Sleep(2 * time.Minute)
		set(standin.EngineFaults{})
	}},
	{"rolling replacement of all entries", "a", 4 * time.Minute, func(ctx context.Context, f *fleet.Fleet) {
		for n, m := range f.Entries() {
			_, _ = f.StartEntry(fmt.Sprintf("next-%d", n), m.Zone)
			time.Sleep(5 * time.Second)
			f.Remove(m)
			_ = m.Entry.Shutdown(ctx)
			time.Sleep(5 * time.Second)
		}
	}},
}

// TestMeasureFleet measures group downtime, stranded instances and the service
// level of a fleet of one user's size in each scenario.
func TestMeasureFleet(t *testing.T) {
	requireTables(t)
	b := &table{header: []string{
		"what happens", "minutes", "group downtime, group-minutes", "stranded, instance-minutes",
		"in target, in the zone", "in target, elsewhere", "sent against a promise",
	}}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) { b.add(measureScenario(t, s)...) })
	}
	writePage(t, "fleet.md", fmt.Sprintf(`# A fleet of one user's size under faults

8 entries in 3 zones, 60 replica groups of 4 instances in 12 fabric domains of 22, %d requests a second, in virtual
time. Loading takes 20 s, a loaded group is cold for 20 s. In target: whole, first token within 460 ms, 30 ms between
tokens. Stranded: live instances that serve nothing in a zone with a group that is down. Made by:

    go test ./internal/measure -run TestMeasureFleet -tables $PWD/docs/measurements -timeout 30m

%s`, fleetRate, b))
}

func measureScenario(t *testing.T, s scenario) []string {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	f, err := fleet.Start(ctx, largeFleet(), standin.NewMemory(), t.Output())
	require.NoError(t, err)
	for _, zone := range []string{"a", "b"} {
		_, err := f.StartEntry("entry-"+zone+"3", zone)
		require.NoError(t, err)
	}
	require.NoError(t, f.WaitGroupsOpen(ctx))
	o := &observer{ctx: ctx, fleet: f, zone: s.zone}
	var wg sync.WaitGroup
	wg.Go(func() { s.inject(ctx, f) })
	o.watch(s.duration)
	wg.Wait()
	counts := f.Counts()
	violations := counts.SentToIncompleteGroup + counts.ColdLimitExceeded + counts.SentToZoneOut
	f.Close()
	time.Sleep(settleDuration)
	return []string{
		s.name, fmt.Sprint(s.duration.Minutes()), fmt.Sprintf("%.1f", o.downtime.Minutes()),
		fmt.Sprintf("%.0f", o.stranded.Minutes()), o.inZone.String(), o.elsewhere.String(), fmt.Sprint(violations),
	}
}

// planners are the production planner and two baselines.
var planners = []struct {
	name       string
	newPlanner func(grouping.PlacementWeights) grouping.Planner
}{
	{"expected downtime and stranded instances", grouping.NewPlanner},
	{"first fit", func(grouping.PlacementWeights) grouping.Planner {
		return grouping.Planner{ChooseDomain: func(int, []grouping.Domain) int { return 0 }}
	}},
	{"random", func(grouping.PlacementWeights) grouping.Planner {
		rng := rand.New(rand.NewPCG(7, 7))
		return grouping.Planner{ChooseDomain: func(_ int, domains []grouping.Domain) int { return rng.IntN(len(domains)) }}
	}},
}

// layout is the number of groups in a zone and of instances in a fabric domain.
type layout struct {
	groups, perDomain int
}

func (l layout) String() string {
	return fmt.Sprintf("%d groups, domains of %d", l.groups, l.perDomain)
}

var layouts = []layout{{groups: 7, perDomain: 12}, {groups: 8, perDomain: 14}}

// TestMeasurePlanner compares the planners under the same instance failures.
func TestMeasurePlanner(t *testing.T) {
	requireTables(t)
	b := &table{header: []string{
		"layout", "planner", "seed", "group downtime, group-minutes", "stranded, instance-minutes",
	}}
	for _, l := range layouts {
		for _, p := range planners {
			for _, seed := range []uint64{1, 2, 3} {
				synctest.Test(t, func(t *testing.T) {
					downtime, stranded := measurePlanner(t, l, p.newPlanner, seed)
					b.add(l.String(), p.name, fmt.Sprint(seed), fmt.Sprintf("%.1f", downtime.Minutes()), fmt.Sprintf("%.0f", stranded.Minutes()))
				})
			}
		}
	}
	writePage(t, "planner.md", fmt.Sprintf(`# Planners of replica groups on the same failures

One zone of 3 fabric domains, groups of 4; every 45 s an instance dies for 2 to 6 minutes, for 15 minutes of virtual
time. Loading takes 20 s, a loaded group is cold for 20 s. Made by:

    go test ./internal/measure -run TestMeasurePlanner -tables $PWD/docs/measurements -timeout 30m

%s`, b))
}

func measurePlanner(t *testing.T, l layout, planner func(grouping.PlacementWeights) grouping.Planner, seed uint64) (downtime, stranded time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	plan := largeFleet()
	plan.Zones = []string{"a"}
	plan.GroupsPerZone = l.groups
	plan.DomainsPerZone = 3
	plan.InstancesPerDomain = l.perDomain
	plan.EntryOptions = []entry.Option{entry.WithPlanner(planner)}
	f, err := fleet.Start(ctx, plan, standin.NewMemory(), t.Output())
	require.NoError(t, err)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	o := &observer{ctx: ctx, fleet: f, zone: "a"}
	rng := rand.New(rand.NewPCG(seed, 3))
	var wg sync.WaitGroup
	const length, step = 15 * time.Minute, 45 * time.Second
	for at := time.Duration(0); at < length-time.Minute; at += step {
		engines := f.Engines()
		i := engines[rng.IntN(len(engines))]
		d := 2*time.Minute + time.Duration(rng.Int64N(int64(4*time.Minute)))
		wg.Go(func() {
			time.Sleep(at)
			i.Engine.SetFaults(standin.EngineFaults{Dead: true})
			time.Sleep(d)
			i.Engine.SetFaults(standin.EngineFaults{})
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(observeInterval)
		o.observe()
	}
	wg.Wait()
	f.Close()
	time.Sleep(settleDuration)
	return o.downtime, o.stranded
}
