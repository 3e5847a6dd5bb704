package processfleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/processfleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// waitTimeout bounds every wait for a condition.
const waitTimeout = 90 * time.Second

// longAnswer is a response length in tokens that takes about three seconds at
// the stand-ins' default speed.
const longAnswer = 150

// start starts two entries and five engines in one zone, each as a process.
func start(t *testing.T) (context.Context, *processfleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	f, err := processfleet.Start(ctx, t.TempDir(), processfleet.Plan{
		Zones: []string{"a"}, EntriesPerZone: 2, EnginesPerZone: 5, GroupsPerZone: 2, GroupSize: 2,
		Slots: 8, ColdLimit: 2,
		EngineFlags: []string{"--load-time", "200ms", "--cold-time", "500ms", "--slots", "8"},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	return ctx, f
}

// stream sends a generation request to an entry in the background.
func stream(ctx context.Context, e *processfleet.Entry, prompt string, tokens int) <-chan load.Response {
	answers := make(chan load.Response, 1)
	go func() {
		c := load.NewCaller(http.DefaultClient, processfleet.CallerKey)
		answers <- c.Generate(ctx, e.Caller, load.Request{Model: processfleet.Model, Prompt: prompt, MaxTokens: tokens})
	}()
	return answers
}

func requireWhole(t *testing.T, answer load.Response, prompt string, tokens int) {
	t.Helper()
	require.NoError(t, answer.Err)
	require.True(t, answer.Complete)
	require.Equal(t, standin.ExpectedResponse(prompt, tokens), answer.Text)
}

// busyEngine waits until an engine has received a request and returns it.
func busyEngine(ctx context.Context, t *testing.T, f *processfleet.Fleet) *processfleet.Instance {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var busy *processfleet.Instance
	require.NoError(t, processfleet.WaitUntil(ctx, "a busy engine", func() bool {
		for _, i := range f.Instances {
			var counts standin.EngineCounts
			if i.Service == "" && f.Counts(ctx, i, &counts) == nil && counts.Requests > 0 {
				busy = i
				return true
			}
		}
		return false
	}))
	return busy
}

func TestMemberKilledMidStream(t *testing.T) {
	ctx, f := start(t)
	answers := stream(ctx, f.Entries[0], "kill", longAnswer)
	busyEngine(ctx, t, f).Kill()
	requireWhole(t, <-answers, "kill", longAnswer)
}

func TestMemberFrozenMidStream(t *testing.T) {
	ctx, f := start(t)
	answers := stream(ctx, f.Entries[0], "freeze", longAnswer)
	frozen := busyEngine(ctx, t, f)
	require.NoError(t, frozen.Freeze())
	requireWhole(t, <-answers, "freeze", longAnswer)
	require.NoError(t, frozen.Thaw())
	requireWhole(t, <-stream(ctx, f.Entries[1], "thaw", 5), "thaw", 5)
}

func TestKilledEntryIsTakenOver(t *testing.T) {
	ctx, f := start(t)
	killed, other := f.Entries[0], f.Entries[1]
	killed.Kill()
	f.Remove(killed)
	requireOwner(ctx, t, f, other)
	requireWhole(t, <-stream(ctx, other, "after", 20), "after", 20)
}

// requireOwner waits until the entry owns all groups.
func requireOwner(ctx context.Context, t *testing.T, f *processfleet.Fleet, e *processfleet.Entry) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	require.NoError(t, processfleet.WaitUntil(ctx, e.Name+" owns all groups", func() bool {
		status, err := f.Client(e).Status(ctx)
		if err != nil || len(status.Groups) < f.Plan.GroupsPerZone {
			return false
		}
		for _, g := range status.Groups {
			if g.Owner != e.Name {
				return false
			}
		}
		return true
	}))
}

func TestFrozenEntryReturnsWithoutGroupsAfterLeaseExpiry(t *testing.T) {
	ctx, f := start(t)
	frozen, other := f.Entries[0], f.Entries[1]
	require.NoError(t, frozen.Freeze())
	requireOwner(ctx, t, f, other)
	require.NoError(t, frozen.Thaw())
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	require.NoError(t, processfleet.WaitUntil(waitCtx, "a new session", func() bool {
		status, err := f.Client(frozen).Status(ctx)
		return err == nil && status.SessionEpoch == 2
	}))
	status, err := f.Client(frozen).Status(ctx)
	require.NoError(t, err)
	for _, g := range status.Groups {
		require.Equal(t, other.Name, g.Owner)
	}
	requireWhole(t, <-stream(ctx, frozen, "back", 10), "back", 10)
	for _, i := range f.Instances {
		var counts standin.EngineCounts
		if i.Service == "" && f.Counts(ctx, i, &counts) == nil {
			require.Zero(t, counts.StaleOrders)
			require.Zero(t, counts.ColdLimitExceeded)
		}
	}
}

func TestPlatformOutageAcrossProcesses(t *testing.T) {
	ctx, f := start(t)
	require.NoError(t, f.Control(ctx, f.Platform, "/control", standin.PlatformFaults{Outage: true}))
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, e := range f.Entries {
		require.NoError(t, processfleet.WaitUntil(waitCtx, "the outage is noticed", func() bool {
			status, err := f.Client(e).Status(ctx)
			return err == nil && !status.PlatformReachable
		}))
	}
	for _, e := range f.Entries {
		requireWhole(t, <-stream(ctx, e, "outage", longAnswer), "outage", longAnswer)
	}
	_, err := f.Client(f.Entries[0]).Apply(ctx, operator.Change{
		Author: "t", Kind: operator.KindOrganisation, Name: "late",
		Organisation: &operator.Organisation{Name: "late", KeyHashes: []string{operator.HashKey("k")}},
	})
	require.Error(t, err, "a change must not be accepted without the platform")
	order, err := f.Client(f.Entries[0]).Apply(ctx, operator.Change{
		Author: "t", Kind: operator.KindInstance, Name: "x", Instance: &operator.Instance{Name: "x", Held: true},
	})
	require.NoError(t, err)
	require.Zero(t, order.Revision, "an order must be provisional, without a revision")
	require.NoError(t, f.Control(ctx, f.Platform, "/control", standin.PlatformFaults{}))
	require.NoError(t, f.WaitGroupsOpen(ctx))
}

func TestRacingOperatorsAcrossProcesses(t *testing.T) {
	ctx, f := start(t)
	read, err := f.Client(f.Entries[0]).Configuration(ctx)
	require.NoError(t, err)
	const racers = 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted, rejected := 0, 0
	for n := range racers {
		wg.Go(func() {
			_, err := f.Client(f.Entries[n%2]).Apply(ctx, operator.Change{
				Base: read.Revision, Author: fmt.Sprint(n), Reason: "race", Kind: operator.KindZone, Name: "z",
				Zone: &operator.Zone{Name: "z", Out: true},
			})
			mu.Lock()
			defer mu.Unlock()
			var problem *operator.Problem
			switch {
			case err == nil:
				accepted++
			case asProblem(err, &problem) && problem.Conflict != nil:
				rejected++
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, accepted)
	require.Equal(t, racers-1, rejected)
}

func asProblem(err error, target **operator.Problem) bool {
	p, ok := err.(*operator.Problem) //nolint:errorlint // the client returns it unwrapped
	*target = p
	return ok
}

func TestTerminatedEntryFinishesItsStreams(t *testing.T) {
	ctx, f := start(t)
	leaving, other := f.Entries[0], f.Entries[1]
	answers := []<-chan load.Response{
		stream(ctx, leaving, "term-1", longAnswer), stream(ctx, leaving, "term-2", longAnswer),
	}
	busyEngine(ctx, t, f)
	record := load.NewCaller(http.DefaultClient, processfleet.CallerKey).
		Record(ctx, leaving.Caller, processfleet.Service, standin.RecordHeader, "r-term")
	require.Equal(t, caller.Ran, record.Run)
	require.NoError(t, leaving.Terminate())
	for n, answer := range answers {
		requireWhole(t, <-answer, fmt.Sprintf("term-%d", n+1), longAnswer)
	}
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	require.NoError(t, leaving.Wait(waitCtx), leaving.Output())
	f.Remove(leaving)
	requireOwner(ctx, t, f, other)
	requireWhole(t, <-stream(ctx, other, "heir", 5), "heir", 5)
}
