package measure_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/measure"
	"github.com/hibiscuspulley/hibiscuspulley/internal/processfleet"
)

func startRelay(b *testing.B, flags ...string) *processfleet.Fleet {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Minute)
	defer cancel()
	f, err := processfleet.Start(ctx, b.TempDir(), processfleet.Plan{
		Zones: []string{"a"}, EntriesPerZone: 1, EnginesPerZone: 1, GroupsPerZone: 1, GroupSize: 1,
		Slots: 400, ColdLimit: 4,
		EngineFlags: append([]string{"--load-time", "100ms", "--cold-time", "100ms", "--slots", "400"}, flags...),
	})
	require.NoError(b, err)
	b.Cleanup(f.Close)
	require.NoError(b, f.WaitGroupsOpen(ctx))
	caller := load.NewCaller(http.DefaultClient, processfleet.CallerKey)
	answer := caller.Generate(ctx, f.Entries[0].Caller, load.Request{Model: processfleet.Model, Prompt: "hi", MaxTokens: 2})
	require.True(b, answer.Complete, "%+v", answer)
	return f
}

// BenchmarkAddedFirstToken measures the time to the first token through one
// entry and directly at the engine, alternating under the same load.
func BenchmarkAddedFirstToken(b *testing.B) {
	f := startRelay(b, "--token-interval", "5ms", "--prefill-per-token", "20us")
	engine := "http://" + f.Instances[0].Address
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	caller := load.NewCaller(client, processfleet.CallerKey)
	direct, through := load.NewSummary(), load.NewSummary()
	request := load.Request{Model: processfleet.Model, Prompt: strings.Repeat("word ", 40), MaxTokens: 16}
	for b.Loop() {
		for range 10 {
			load.OpenLoop(b.Context(), 100, time.Second, func(int) { direct.Add(caller.Generate(b.Context(), engine, request)) })
			load.OpenLoop(b.Context(), 100, time.Second, func(int) { through.Add(caller.Generate(b.Context(), f.Entries[0].Caller, request)) })
		}
	}
	_, whole, _, failed, _ := through.Counts()
	added := func(a, b time.Duration) float64 { return float64(a-b) / float64(time.Microsecond) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(direct.FirstToken().P50.Microseconds()), "direct-p50-µs")
	b.ReportMetric(float64(through.FirstToken().P50.Microseconds()), "through-p50-µs")
	b.ReportMetric(added(through.FirstToken().P50, direct.FirstToken().P50), "added-p50-µs")
	b.ReportMetric(added(through.FirstToken().P95, direct.FirstToken().P95), "added-p95-µs")
	b.ReportMetric(float64(whole), "whole")
	b.ReportMetric(float64(failed), "failed")
}

// BenchmarkRelayTokens measures the processor time that one entry needs to relay
// about 100,000 tokens a second over 220 streams.
func BenchmarkRelayTokens(b *testing.B) {
	const streams, tokens = 220, 5000
	f := startRelay(b, "--token-interval", "1400us", "--prefill-per-token", "1us")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	caller := load.NewCaller(client, processfleet.CallerKey)
	summary := load.NewSummary()
	entry := f.Entries[0]
	before, err := measure.CPUTime(entry.PID())
	require.NoError(b, err)
	begin := time.Now()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				summary.Add(caller.Generate(b.Context(), entry.Caller, load.Request{Model: processfleet.Model, Prompt: "go", MaxTokens: tokens}))
			})
		}
		wg.Wait()
	}
	took := time.Since(begin)
	after, err := measure.CPUTime(entry.PID())
	require.NoError(b, err)
	resident, err := measure.ResidentBytes(entry.PID())
	require.NoError(b, err)
	_, whole, _, failed, relayed := summary.Counts()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(relayed)/took.Seconds(), "tokens/s")
	b.ReportMetric((after-before).Seconds()/took.Seconds(), "cores")
	b.ReportMetric(float64((after-before).Microseconds())/float64(relayed), "µs-cpu/token")
	b.ReportMetric(float64(resident)/(1<<20), "resident-MiB")
	b.ReportMetric(float64(whole), "whole")
	b.ReportMetric(float64(failed), "failed")
}
