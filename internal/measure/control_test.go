package measure_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// controlWindow is the duration of the measurement, and of the settling time
// before it.
const controlWindow = time.Minute

// controlSize is the size of an idle fleet in one zone; members is the number of
// instances in each group.
type controlSize struct {
	entries, groups, members int
}

// controlCost is the control traffic of an idle fleet: rates are per second, and
// sharePerEntry is the number of groups for each entry.
type controlCost struct {
	size           controlSize
	reads, writes  float64
	bytesPerEntry  float64
	sharePerEntry  float64
	probesPerEntry float64
}

func idlePlan(s controlSize) fleet.Plan {
	plan := fleet.DefaultPlan()
	plan.Zones = []string{"a"}
	plan.EntriesPerZone = s.entries
	plan.GroupsPerZone = s.groups
	plan.GroupSize = s.members
	plan.DomainsPerZone = 1
	plan.InstancesPerDomain = s.groups * s.members
	plan.LogLevel = "fatal"
	return plan
}

func measureControl(t *testing.T, s controlSize) controlCost {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	f, err := fleet.Start(ctx, idlePlan(s), standin.NewMemory(), t.Output())
	require.NoError(t, err)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	time.Sleep(controlWindow)
	before, bytesBefore := f.Platform.Counts(), entryBytes(f)
	time.Sleep(controlWindow)
	after, bytesAfter := f.Platform.Counts(), entryBytes(f)
	f.Close()
	time.Sleep(settleDuration)
	seconds := controlWindow.Seconds()
	share := float64(s.groups) / float64(s.entries)
	return controlCost{
		size:  s,
		reads: float64(after.Reads-before.Reads) / seconds, writes: float64(after.Writes-before.Writes) / seconds,
		bytesPerEntry: float64(bytesAfter-bytesBefore) / seconds / float64(s.entries),
		sharePerEntry: share, probesPerEntry: share * float64(s.members) * 2,
	}
}

func entryBytes(f *fleet.Fleet) int64 {
	sum := int64(0)
	for _, m := range f.Entries() {
		sum += f.Network.Bytes(m.Name)
	}
	return sum
}

// linearFit is a linear regression; fit is its coefficient of determination (R²).
type linearFit struct {
	offset, slope, fit float64
}

func fitLine(x, y []float64) linearFit {
	offset, slope := stat.LinearRegression(x, y, nil, false)
	return linearFit{offset, slope, stat.RSquared(x, y, nil, offset, slope)}
}

func (l linearFit) String() string {
	return fmt.Sprintf("%.3g + %.3g x (R² %.3f)", l.offset, l.slope, l.fit)
}

// TestMeasureControl measures the platform calls and network traffic of idle
// fleets of several sizes and fits a linear regression.
func TestMeasureControl(t *testing.T) {
	requireTables(t)
	b := &table{header: []string{
		"entries", "groups", "members", "platform reads/s", "platform writes/s", "bytes/s for each entry", "probes/s for each entry",
	}}
	measure := func(sizes []controlSize) []controlCost {
		var all []controlCost
		for _, s := range sizes {
			synctest.Test(t, func(t *testing.T) { all = append(all, measureControl(t, s)) })
			c := all[len(all)-1]
			b.add(fmt.Sprint(s.entries), fmt.Sprint(s.groups), fmt.Sprint(s.members), fmt.Sprintf("%.2f", c.reads),
				fmt.Sprintf("%.2f", c.writes), fmt.Sprintf("%.0f", c.bytesPerEntry), fmt.Sprintf("%.1f", c.probesPerEntry))
		}
		return all
	}
	byEntries := measure([]controlSize{{2, 8, 2}, {4, 16, 2}, {8, 32, 2}, {16, 64, 2}})
	byGroups := measure([]controlSize{{2, 4, 2}, {2, 16, 2}, {2, 32, 2}})
	byMembers := measure([]controlSize{{2, 8, 1}, {2, 8, 4}, {2, 8, 8}})
	fit := func(all []controlCost, x, y func(c controlCost) float64) linearFit {
		var xs, ys []float64
		for _, c := range all {
			xs, ys = append(xs, x(c)), append(ys, y(c))
		}
		return fitLine(xs, ys)
	}
	entries := func(c controlCost) float64 { return float64(c.size.entries) }
	bytes := func(c controlCost) float64 { return c.bytesPerEntry }
	lines := &table{header: []string{"what", "x", "line"}}
	lines.add("platform reads/s", "entries", fit(byEntries, entries, func(c controlCost) float64 { return c.reads }).String())
	lines.add("platform writes/s", "entries", fit(byEntries, entries, func(c controlCost) float64 { return c.writes }).String())
	lines.add("bytes/s for each entry, 4 groups for each", "entries of the zone", fit(byEntries, entries, bytes).String())
	lines.add("bytes/s for each entry, 2 entries", "groups of the zone", fit(byGroups, func(c controlCost) float64 { return float64(c.size.groups) }, bytes).String())
	lines.add("bytes/s for each entry, 4 groups for each", "probes/s", fit(byMembers, func(c controlCost) float64 { return c.probesPerEntry }, bytes).String())
	writePage(t, "control.md", fmt.Sprintf(`# What an idle fleet costs

One zone, virtual time, a minute each. Bytes are what an entry sends and receives at all its connections, HTTP and
WebSocket framing included, TCP/IP not. Made by:

    go test ./internal/measure -run TestMeasureControl -tables $PWD/docs/measurements

%s
%s`, b, lines))
}

// TestMeasureSpread measures how long a change takes to be in force at all
// entries.
func TestMeasureSpread(t *testing.T) {
	requireTables(t)
	b := &table{header: []string{"zones", "entries", "slowest of 20 changes", "slowest with the platform out for the others"}}
	for _, perZone := range []int{2, 4, 8} {
		synctest.Test(t, func(t *testing.T) {
			healthy, isolated := measurePropagation(t, perZone)
			b.add("3", fmt.Sprint(3*perZone), healthy.String(), isolated.String())
		})
	}
	writePage(t, "spread.md", fmt.Sprintf(`# How long a change takes to be in force everywhere

Virtual time; the second figure has every zone but the author's cut off from the platform. Made by:

    go test ./internal/measure -run TestMeasureSpread -tables $PWD/docs/measurements

%s`, b))
}

func measurePropagation(t *testing.T, perZone int) (healthy, isolated time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	plan := fleet.DefaultPlan()
	plan.EntriesPerZone = perZone
	plan.GroupsPerZone = 1
	plan.GroupSize = 1
	plan.DomainsPerZone = 1
	plan.InstancesPerDomain = 1
	plan.LogLevel = "fatal"
	f, err := fleet.Start(ctx, plan, standin.NewMemory(), t.Output())
	require.NoError(t, err)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	for range 20 {
		healthy = max(healthy, propagateOnce(ctx, t, f))
	}
	f.Network.Partition("b", fleet.PlatformZone)
	f.Network.Partition("c", fleet.PlatformZone)
	time.Sleep(5 * time.Second)
	for range 20 {
		isolated = max(isolated, propagateOnce(ctx, t, f))
	}
	f.Close()
	time.Sleep(settleDuration)
	return healthy, isolated
}

func propagateOnce(ctx context.Context, t *testing.T, f *fleet.Fleet) time.Duration {
	t.Helper()
	time.Sleep(730 * time.Millisecond)
	begin := time.Now()
	accepted, err := f.Operator(f.Entries()[0]).Apply(ctx, operator.Change{
		Base: f.Entries()[0].Entry.Revision(), Author: "m", Kind: operator.KindInstance, Name: "x",
		Instance: &operator.Instance{Name: "x", Held: true},
	})
	require.NoError(t, err)
	for _, m := range f.Entries() {
		for m.Entry.Revision() < accepted.Revision {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}
