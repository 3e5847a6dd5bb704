package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

var now = time.Unix(1000, 0)

func apply(r *registry.Registry, full bool, changes ...registry.Change) *registry.View {
	return r.Apply(changes, full, 1, now, now)
}

// Guards against a delayed heartbeat that restores an earlier incarnation or
// the state before the latest order.
func TestOlderRecordIsIgnored(t *testing.T) {
	stale := 0
	r := registry.New(func(_, _ *registry.Server) { stale++ })
	apply(r, false, registry.Change{ID: "s", Server: &registry.Server{ID: "s", StartTime: 2, OrderCount: 3}})
	apply(r, false, registry.Change{ID: "s", Server: &registry.Server{ID: "s", StartTime: 1, OrderCount: 9}})
	v := apply(r, false, registry.Change{ID: "s", Server: &registry.Server{ID: "s", StartTime: 2, OrderCount: 2}})
	require.Equal(t, int64(3), v.Servers["s"].OrderCount)
	require.Equal(t, 2, stale)
	v = apply(r, false, registry.Change{ID: "s", Server: &registry.Server{ID: "s", StartTime: 3}})
	require.Equal(t, int64(3), v.Servers["s"].StartTime)
}

// A server that crashed and came back under another ID has a later record at the address
// of the earlier one; an older record there, as after a reuse, is no successor's.
func TestSuccessorsAreTheLaterServersAtAnAddress(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	a, b := registry.Incarnation{ID: "a", StartTime: 1}, registry.Incarnation{ID: "b", StartTime: 2}
	v := apply(r, false, registry.Change{ID: "a", Server: &registry.Server{ID: "a", StartTime: 1, Address: "1"}})
	require.Empty(t, v.Successors(a))
	v = apply(r, false, registry.Change{ID: "b", Server: &registry.Server{ID: "b", StartTime: 2, Address: "1"}})
	require.Equal(t, []registry.Incarnation{b}, v.Successors(a))
	require.Empty(t, v.Successors(b))
	v = apply(r, false, registry.Change{ID: "a"})
	require.Equal(t, []registry.Incarnation{b}, v.Successors(a), "the last address of a removed server is kept")
	require.Empty(t, v.Successors(registry.Incarnation{ID: "a", StartTime: 5}), "another incarnation")
	require.Empty(t, v.Successors(registry.Incarnation{ID: "unknown", StartTime: 1}))
	for start := int64(3); start < 9; start++ {
		id := string(rune('a' + start))
		v = apply(r, false, registry.Change{ID: id, Server: &registry.Server{ID: id, StartTime: start, Address: "1"}})
	}
	require.Equal(t, []registry.Incarnation{{ID: "i", StartTime: 8}, {ID: "h", StartTime: 7}, {ID: "g", StartTime: 6}}, v.Successors(a))
}

func TestFullReadRemovesUnlistedServers(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	apply(r, false,
		registry.Change{ID: "a", Server: &registry.Server{ID: "a", Address: "1"}},
		registry.Change{ID: "b", Server: &registry.Server{ID: "b", Address: "2"}})
	v := apply(r, true, registry.Change{ID: "a", Server: &registry.Server{ID: "a", Address: "1"}})
	require.NotContains(t, v.Servers, "b")
	require.Equal(t, "2", v.Removed["b"].Address)
	require.Contains(t, v.RemovedAt, "b")
	v = apply(r, false, registry.Change{ID: "b", Server: &registry.Server{ID: "b", Address: "2"}})
	require.NotContains(t, v.RemovedAt, "b")
	require.NotContains(t, v.Removed, "b")
}

func server(id string) registry.Change {
	return registry.Change{ID: id, Server: &registry.Server{ID: id}}
}

// Guards against removing live servers after a store outage. Their records
// expire during the outage and are written again within two seconds of the
// store's return.
func TestRecordsThatExpiredDuringOutageAreKept(t *testing.T) {
	for name, full := range map[string]bool{"deleted": false, "not listed any more": true} {
		t.Run(name, func(t *testing.T) {
			r := registry.New(func(_, _ *registry.Server) {})
			at := func(after time.Duration, full bool, changes ...registry.Change) *registry.View {
				return r.Apply(changes, full, 1, now.Add(after), now.Add(after))
			}
			at(0, true, server("back"), server("gone"), server("late"))
			expired := []registry.Change{{ID: "back"}, {ID: "gone"}}
			if full {
				expired = []registry.Change{server("late")}
			}
			v := at(6*time.Second, full, expired...)
			require.Contains(t, v.Servers, "back")
			require.Contains(t, v.Servers, "gone")
			v = at(7*time.Second, false, server("back"), registry.Change{ID: "late"})
			require.Contains(t, v.Servers, "late", "some records expire only after the outage")
			v = at(8*time.Second, false, server("late"))
			require.Contains(t, v.Servers, "back")
			require.Contains(t, v.Servers, "late")
			require.NotContains(t, v.Servers, "gone")
			require.Contains(t, v.RemovedAt, "gone")
		})
	}
}

func TestDeletedRecordIsRemovedWithoutOutage(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	apply(r, true, server("s"))
	v := r.Apply([]registry.Change{{ID: "s"}}, false, 2, now.Add(2*time.Second), now.Add(2*time.Second))
	require.NotContains(t, v.Servers, "s")
}

func TestViewIsImmutable(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	before := apply(r, false, registry.Change{ID: "a", Server: &registry.Server{ID: "a"}})
	apply(r, false, registry.Change{ID: "a"})
	require.Contains(t, before.Servers, "a")
}
