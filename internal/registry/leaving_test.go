package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Guards against a server that gets requests again when its record is written anew,
// although it has said that it leaves. Its next incarnation is another server.
func TestALeavingIncarnationStaysLeaving(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	now := time.Unix(1000, 0)
	inc := registry.Incarnation{ID: "i-1", StartTime: 7}
	record := func(start, orders int64) []registry.Change {
		return []registry.Change{{ID: "i-1", Server: &registry.Server{ID: "i-1", StartTime: start, OrderCount: orders}}}
	}
	before := r.Apply(record(7, 1), true, 1, now, now)
	require.True(t, r.MarkLeaving(inc, now).Servers["i-1"].Leaving)
	require.False(t, before.Servers["i-1"].Leaving, "a view doesn't change")
	require.True(t, r.Apply(record(7, 2), false, 2, now, now).Servers["i-1"].Leaving)
	now = now.Add(time.Hour)
	require.True(t, r.Apply(record(7, 3), true, 3, now, now).Servers["i-1"].Leaving)
	require.False(t, r.Apply(record(8, 0), true, 4, now, now).Servers["i-1"].Leaving)
}

// Entries may hear of a leaving server before they have its record.
func TestAServerThatIsKnownToLeaveBeforeItsRecordArrives(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	now := time.Unix(1000, 0)
	require.Empty(t, r.MarkLeaving(registry.Incarnation{ID: "i-1", StartTime: 7}, now).Servers)
	now = now.Add(10 * time.Second)
	v := r.Apply([]registry.Change{{ID: "i-1", Server: &registry.Server{ID: "i-1", StartTime: 7}}}, true, 1, now, now)
	require.True(t, v.Servers["i-1"].Leaving)
}
