package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

const (
	chaosDuration = 40 * time.Second
	// faultsPerRun is the number of faults in a schedule. They overlap.
	faultsPerRun     = 10
	maxFaultDuration = 12 * time.Second
	requestInterval  = 150 * time.Millisecond
	recordInterval   = 250 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond
)

// fault is an injected fault. inject starts it, waits for d and ends it; faults
// without a duration ignore d.
type fault struct {
	name   string
	inject func(c *chaos, rng *rand.Rand, d time.Duration)
}

// chaos is one run of a fleet under a random schedule of faults.
type chaos struct {
	ctx   context.Context
	fleet *fleet.Fleet
	// requestInterval is the time between two requests.
	requestInterval time.Duration

	mu         sync.Mutex
	violations []string
	// records holds the results of the record calls by record ID.
	records map[string]load.Response
	// completeResponses counts the model requests with a complete response.
	completeResponses int
	requests          int
	// revisions holds the last sampled revision of each entry.
	revisions map[*fleet.Entry]uint64
	// accepted holds the accepted operator changes by revision.
	accepted map[uint64]operator.Change
	// replacements counts the replaced entries; it makes their names unique.
	replacements int
	background   sync.WaitGroup
}

// expect records a violation unless the invariant holds.
func (c *chaos) expect(ok bool, format string, args ...any) {
	if ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkUnderFaults runs fleets under random schedules of the faults and checks
// the invariants during and after each run. check runs last, while the fleet is up.
func checkUnderFaults(t *testing.T, faults []fault, check func(c *chaos)) {
	t.Helper()
	checkUnderFaultsAndLoad(t, faults, requestInterval, check)
}

// checkUnderFaultsAndLoad is checkUnderFaults with the given interval between
// requests.
func checkUnderFaultsAndLoad(t *testing.T, faults []fault, interval time.Duration, check func(c *chaos)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			violations = runChaos(t, seed, faults, interval, check)
		})
		if len(violations) > 0 {
			rt.Fatalf("seed %d: %d invariant violations, the first: %s", seed, len(violations), violations[0])
		}
	})
}

func runChaos(t *testing.T, seed uint64, faults []fault, interval time.Duration, check func(c *chaos)) []string {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	plan := fleet.DefaultPlan()
	plan.GroupsPerZone = 2
	plan.GroupSize = 2
	plan.InstancesPerDomain = 4
	plan.LogLevel = "fatal"
	f, err := fleet.Start(ctx, plan, standin.NewMemory(), t.Output())
	require.NoError(t, err)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	c := &chaos{
		ctx: ctx, fleet: f, requestInterval: interval, records: make(map[string]load.Response),
		revisions: make(map[*fleet.Entry]uint64), accepted: make(map[uint64]operator.Change),
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	c.run(rng, faults)
	c.checkCommon()
	check(c)
	f.Close()
	time.Sleep(settleDuration)
	return c.violations
}

// run generates load while the scheduled faults are injected.
func (c *chaos) run(rng *rand.Rand, faults []fault) {
	var wg sync.WaitGroup
	for range faultsPerRun {
		f := faults[rng.IntN(len(faults))]
		at := time.Duration(rng.Int64N(int64(chaosDuration - maxFaultDuration)))
		d := time.Second + time.Duration(rng.Int64N(int64(maxFaultDuration-time.Second)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
		wg.Go(func() {
			time.Sleep(at)
			f.inject(c, faultRNG, d)
		})
	}
	end := time.Now().Add(chaosDuration)
	wg.Go(func() { c.runEvery(end, c.requestInterval, c.request) })
	wg.Go(func() { c.runEvery(end, recordInterval, c.record) })
	wg.Go(func() { c.runEvery(end, sampleInterval, func(int) { c.sample() }) })
	wg.Wait()
	c.background.Wait()
}

func (c *chaos) runEvery(end time.Time, step time.Duration, do func(n int)) {
	for n := 0; time.Now().Before(end); n++ {
		do(n)
		time.Sleep(step)
	}
}

// caller returns entry n modulo the number of entries, and an HTTP client and a
// caller in its zone. It returns nil if there are no entries.
func (c *chaos) caller(n int) (*fleet.Entry, *http.Client, *load.Caller) {
	entries := c.fleet.Entries()
	if len(entries) == 0 {
		return nil, nil, nil
	}
	e := entries[n%len(entries)]
	client := c.fleet.Client(e.Zone)
	return e, client, load.NewCaller(client, fleet.Key(n%c.fleet.Plan.Organisations))
}

// call runs do in the background with the base URL of entry n, counted as in caller,
// and with a caller in the entry's zone. It does nothing if there are no entries.
func (c *chaos) call(n int, do func(ctx context.Context, base string, from *load.Caller)) {
	e, client, from := c.caller(n)
	if e == nil {
		return
	}
	c.background.Go(func() {
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
		defer cancel()
		do(ctx, "http://"+e.CallerAddress, from)
	})
}

func (c *chaos) request(n int) {
	c.call(n, func(ctx context.Context, base string, from *load.Caller) {
		prompt, tokens := fmt.Sprintf("bay %d", n%7), 10+n%40
		answer := from.Generate(ctx, base, load.Request{Model: fleet.ModelName, Prompt: prompt, MaxTokens: tokens})
		exact := !answer.Complete || answer.Text == standin.ExpectedResponse(prompt, tokens)
		c.expect(exact, "a response was reported as complete but has the wrong text %q", answer.Text)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.requests++
		if answer.Complete {
			c.completeResponses++
		}
	})
}

func (c *chaos) record(n int) {
	c.call(n, func(ctx context.Context, base string, from *load.Caller) {
		id := fmt.Sprintf("r%d", n)
		answer := from.Record(ctx, base, fleet.ServiceName, standin.RecordHeader, id)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.records[id] = answer
	})
}

// sample checks that no instance is in two groups and that no entry's revision went
// back, and makes each engine record since when a member of its group is missing.
func (c *chaos) sample() {
	c.expect(!c.instanceInTwoGroups(), "an instance is a member of two groups")
	for _, e := range c.fleet.Entries() {
		revision := e.Entry.Revision()
		c.mu.Lock()
		before := c.revisions[e]
		c.revisions[e] = revision
		c.mu.Unlock()
		c.expect(revision >= before, "entry %s went back from revision %d to %d", e.Name, before, revision)
	}
	for _, i := range c.fleet.Engines() {
		i.Engine.CheckMembers()
	}
}

func (c *chaos) instanceInTwoGroups() bool {
	seen := make(map[string]bool)
	for _, members := range c.fleet.GroupMembers() {
		for _, instance := range members {
			if seen[instance] {
				return true
			}
			seen[instance] = true
		}
	}
	return false
}

// checkCommon checks the invariants that must hold after every run.
func (c *chaos) checkCommon() {
	c.expect(c.completeResponses > 0, "no response was complete")
	for id, answer := range c.records {
		ran := c.fleet.Records.Count(id)
		c.expect(ran <= 1, "record %s ran %d times", id, ran)
		c.expect(answer.Run != caller.NotRun || ran == 0, "record %s was reported as not-run but was executed", id)
		c.expect(!answer.Complete || ran == 1, "record %s was confirmed but ran %d times", id, ran)
	}
	counts := c.fleet.Counts()
	c.expect(counts.SentToIncompleteGroup == 0, "%d requests were sent to an incomplete group", counts.SentToIncompleteGroup)
	c.expect(counts.ColdLimitExceeded == 0, "%d requests exceeded a cold limit", counts.ColdLimitExceeded)
}
