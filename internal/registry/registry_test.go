package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

var now = time.Unix(1000, 0)

func apply(r *registry.Registry, whole bool, changes ...registry.Change) *registry.View {
	return r.Apply(changes, whole, 1, now, now)
}

// A heartbeat that was held up on its way must not bring an earlier lifetime,
// or a state before the last order, back.
func TestAnOlderEntryIsPassedOver(t *testing.T) {
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

func TestAWholeReadRemovesWhatIsNotListed(t *testing.T) {
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

// Entries lapse while the store is away, and those of servers that live come
// back within two seconds of its return.
func TestEntriesThatLapsedWhileTheStoreWasAwayAreHeld(t *testing.T) {
	for name, whole := range map[string]bool{"deleted": false, "not listed any more": true} {
		t.Run(name, func(t *testing.T) {
			r := registry.New(func(_, _ *registry.Server) {})
			at := func(after time.Duration, whole bool, changes ...registry.Change) *registry.View {
				return r.Apply(changes, whole, 1, now.Add(after), now.Add(after))
			}
			at(0, true, server("back"), server("gone"), server("late"))
			lapsed := []registry.Change{{ID: "back"}, {ID: "gone"}}
			if whole {
				lapsed = []registry.Change{server("late")}
			}
			v := at(6*time.Second, whole, lapsed...)
			require.Contains(t, v.Servers, "back")
			require.Contains(t, v.Servers, "gone")
			v = at(7*time.Second, false, server("back"), registry.Change{ID: "late"})
			require.Contains(t, v.Servers, "late", "some entries lapse only after the return")
			v = at(8*time.Second, false, server("late"))
			require.Contains(t, v.Servers, "back")
			require.Contains(t, v.Servers, "late")
			require.NotContains(t, v.Servers, "gone")
			require.Contains(t, v.RemovedAt, "gone")
		})
	}
}

func TestAnEntryThatGoesWhileTheStoreIsThereIsGone(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	apply(r, true, server("s"))
	v := r.Apply([]registry.Change{{ID: "s"}}, false, 2, now.Add(2*time.Second), now.Add(2*time.Second))
	require.NotContains(t, v.Servers, "s")
}

func TestAViewNeverChanges(t *testing.T) {
	r := registry.New(func(_, _ *registry.Server) {})
	before := apply(r, false, registry.Change{ID: "a", Server: &registry.Server{ID: "a"}})
	apply(r, false, registry.Change{ID: "a"})
	require.Contains(t, before.Servers, "a")
}
