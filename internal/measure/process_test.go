package measure_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/measure"
	"github.com/hibiscuspulley/hibiscuspulley/internal/processfleet"
)

// idleWindow is how long the processes of an idle fleet are observed.
const idleWindow = 10 * time.Second

// BenchmarkIdleEntry measures the processor time and memory of an entry that
// only takes part in control, at several sizes of its zone.
func BenchmarkIdleEntry(b *testing.B) {
	for _, size := range []struct {
		name             string
		entries, engines int
	}{
		{"entries=2/groups=4", 2, 4},
		{"entries=2/groups=16", 2, 16},
		{"entries=2/groups=32", 2, 32},
		{"entries=4/groups=16", 4, 16},
		{"entries=8/groups=32", 8, 32},
	} {
		b.Run(size.name, func(b *testing.B) { benchmarkIdle(b, size.entries, size.engines) })
	}
}

func benchmarkIdle(b *testing.B, entries, engines int) {
	ctx, cancel := context.WithTimeout(b.Context(), 3*time.Minute)
	defer cancel()
	f, err := processfleet.Start(ctx, b.TempDir(), processfleet.Plan{
		Zones: []string{"a"}, EntriesPerZone: entries, EnginesPerZone: engines, GroupsPerZone: engines,
		GroupSize: 1, Slots: 8, ColdLimit: 2,
		EngineFlags: []string{"--load-time", "100ms", "--cold-time", "100ms"},
	})
	require.NoError(b, err)
	defer f.Close()
	require.NoError(b, f.WaitGroupsOpen(ctx))
	var cpu time.Duration
	for b.Loop() {
		before := sumCPU(b, f)
		time.Sleep(idleWindow)
		cpu = sumCPU(b, f) - before
	}
	resident := int64(0)
	for _, e := range f.Entries {
		bytes, err := measure.ResidentBytes(e.PID())
		require.NoError(b, err)
		resident = max(resident, bytes)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*cpu.Seconds()/idleWindow.Seconds()/float64(entries), "%core/entry")
	b.ReportMetric(float64(resident)/(1<<20), "resident-MiB")
	b.ReportMetric(2*float64(engines)/float64(entries), "probes/s/entry")
}

func sumCPU(b *testing.B, f *processfleet.Fleet) time.Duration {
	b.Helper()
	sum := time.Duration(0)
	for _, e := range f.Entries {
		cpu, err := measure.CPUTime(e.PID())
		require.NoError(b, err)
		sum += cpu
	}
	return sum
}
