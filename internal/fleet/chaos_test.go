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
	chaosTime = 40 * time.Second
	// faultsPerRun is how many faults a schedule holds; they overlap.
	faultsPerRun = 10
	longestFault = 12 * time.Second
	requestEvery = 150 * time.Millisecond
	recordEvery  = 250 * time.Millisecond
	sampleEvery  = 250 * time.Millisecond
)

// fault does harm for a while.
type fault struct {
	name string
	do   func(c *chaos, rng *rand.Rand, d time.Duration)
}

// chaos is one run of a fleet under a random schedule of faults.
type chaos struct {
	ctx   context.Context
	fleet *fleet.Fleet
	// requestEvery is the time between two requests.
	requestEvery time.Duration

	mu         sync.Mutex
	broken     []string
	records    map[string]load.Response
	whole      int
	requests   int
	revisions  map[*fleet.Member]uint64
	accepted   map[uint64]operator.Change
	replaced   int
	background sync.WaitGroup
}

// promise notes that a promise did not hold.
func (c *chaos) promise(holds bool, format string, args ...any) {
	if holds {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// underFaults runs fleets under schedules drawn from the faults, and then
// judges each run.
func underFaults(t *testing.T, faults []fault, judge func(c *chaos)) {
	t.Helper()
	underFaultsAndLoad(t, faults, requestEvery, judge)
}

// underFaultsAndLoad does so with a request every so often.
func underFaultsAndLoad(t *testing.T, faults []fault, every time.Duration, judge func(c *chaos)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			broken = runChaos(t, seed, faults, every, judge)
		})
		if len(broken) > 0 {
			rt.Fatalf("seed %d: %d promises broken, the first: %s", seed, len(broken), broken[0])
		}
	})
}

func runChaos(t *testing.T, seed uint64, faults []fault, every time.Duration, judge func(c *chaos)) []string {
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
		ctx: ctx, fleet: f, requestEvery: every, records: make(map[string]load.Response),
		revisions: make(map[*fleet.Member]uint64), accepted: make(map[uint64]operator.Change),
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	c.run(rng, faults)
	c.judgeCommon()
	judge(c)
	f.Close()
	time.Sleep(settleTime)
	return c.broken
}

// run drives the load while faults come and go.
func (c *chaos) run(rng *rand.Rand, faults []fault) {
	var wg sync.WaitGroup
	for range faultsPerRun {
		f := faults[rng.IntN(len(faults))]
		at := time.Duration(rng.Int64N(int64(chaosTime - longestFault)))
		d := time.Second + time.Duration(rng.Int64N(int64(longestFault-time.Second)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		wg.Go(func() {
			time.Sleep(at)
			f.do(c, own, d)
		})
	}
	end := time.Now().Add(chaosTime)
	wg.Go(func() { c.every(end, c.requestEvery, c.request) })
	wg.Go(func() { c.every(end, recordEvery, c.record) })
	wg.Go(func() { c.every(end, sampleEvery, func(int) { c.sample() }) })
	wg.Wait()
	c.background.Wait()
}

func (c *chaos) every(end time.Time, step time.Duration, do func(n int)) {
	for n := 0; time.Now().Before(end); n++ {
		do(n)
		time.Sleep(step)
	}
}

// caller returns an entry and a caller in its zone.
func (c *chaos) caller(n int) (*fleet.Member, *http.Client, *load.Caller) {
	entries := c.fleet.Entries()
	if len(entries) == 0 {
		return nil, nil, nil
	}
	m := entries[n%len(entries)]
	client := c.fleet.Client(m.Zone)
	return m, client, load.NewCaller(client, fleet.Key(n%c.fleet.Plan.Organisations))
}

// call makes call number n in the background, from a caller in the zone of the
// entry that it goes to.
func (c *chaos) call(n int, do func(ctx context.Context, base string, from *load.Caller)) {
	m, client, from := c.caller(n)
	if m == nil {
		return
	}
	c.background.Go(func() {
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
		defer cancel()
		do(ctx, "http://"+m.CallerAddress, from)
	})
}

func (c *chaos) request(n int) {
	c.call(n, func(ctx context.Context, base string, from *load.Caller) {
		prompt, tokens := fmt.Sprintf("bay %d", n%7), 10+n%40
		answer := from.Generate(ctx, base, load.Request{Model: fleet.ModelName, Prompt: prompt, MaxTokens: tokens})
		exact := !answer.Complete || answer.Text == standin.ExpectedResponse(prompt, tokens)
		c.promise(exact, "an answer looked whole and was %q", answer.Text)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.requests++
		if answer.Complete {
			c.whole++
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

// sample looks at the table and the entries' revisions.
func (c *chaos) sample() {
	c.promise(!c.instanceTwice(), "an instance is in two groups")
	for _, m := range c.fleet.Entries() {
		revision := m.Entry.Revision()
		c.mu.Lock()
		before := c.revisions[m]
		c.revisions[m] = revision
		c.mu.Unlock()
		c.promise(revision >= before, "%s went back from revision %d to %d", m.Name, before, revision)
	}
	for _, i := range c.fleet.Engines() {
		i.Engine.CheckMembers()
	}
}

func (c *chaos) instanceTwice() bool {
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

// judgeCommon checks what must hold after every run.
func (c *chaos) judgeCommon() {
	c.promise(c.whole > 0, "no answer was whole")
	for id, answer := range c.records {
		ran := c.fleet.Records.Count(id)
		c.promise(ran <= 1, "record %s ran %d times", id, ran)
		c.promise(answer.Run != caller.NotRun || ran == 0, "record %s ran despite not-run", id)
		c.promise(!answer.Complete || ran == 1, "record %s was confirmed and ran %d times", id, ran)
	}
	counts := c.fleet.Counts()
	c.promise(counts.SentToIncompleteGroup == 0, "%d sends to an incomplete group", counts.SentToIncompleteGroup)
	c.promise(counts.ColdLimitExceeded == 0, "%d sends beyond a cold limit", counts.ColdLimitExceeded)
}
