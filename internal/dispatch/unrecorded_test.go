package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const drain = 3 * time.Second

// unrecordedRig is a balancer and the registry of a leader whose record a test
// deletes.
type unrecordedRig struct {
	*dispatch.Balancer
	registry *registry.Registry
	// own is a stream of the entry that goes on.
	own *dispatch.Reservation
}

func newUnrecordedRig(drain time.Duration) *unrecordedRig {
	u := &unrecordedRig{
		Balancer: dispatch.NewBalancer("a", dispatch.WithDrainTime(drain)),
		registry: registry.New(func(*registry.Server, *registry.Server) {}),
	}
	u.SetTable(routes.NewTable(routes.Config{Services: []routes.Service{{Name: "notes", Engine: &routes.Engine{Slots: slots}}}}))
	s1 := leader("s1", "a")
	s1.Address = "10.0.0.1"
	u.put(start, s1)
	return u
}

func (u *unrecordedRig) put(at time.Time, s *registry.Server) {
	u.SetView(u.registry.Apply([]registry.Change{{ID: s.ID, Server: s}}, false, 1, at, at))
}

func (u *unrecordedRig) drop(at time.Time, id string) {
	u.SetView(u.registry.Apply([]registry.Change{{ID: id}}, false, 1, at, at))
}

// sends reports whether a request is sent at a time. It does not run.
func (u *unrecordedRig) sends(at time.Time) bool {
	r := u.Reserve(at, notes)
	if r == nil {
		return false
	}
	r.Release(at, dispatch.Cancelled)
	return true
}

// Guards against taking a leader that is only cut off from the store out of service at
// once, and against requests that reach a server later than the drain time after its
// record went. Each sign of life counts only if it is younger than the loss.
func TestLeaderWithoutRecordIsUsedForAPartOfTheDrainTime(t *testing.T) {
	inc := registry.Incarnation{ID: "s1", StartTime: 1}
	gone := start.Add(time.Second)
	signs := map[string]func(u *unrecordedRig, at time.Time){
		"none":  func(*unrecordedRig, time.Time) {},
		"probe": func(u *unrecordedRig, at time.Time) { u.ObserveAlive(at, inc) },
		"a peer": func(u *unrecordedRig, at time.Time) {
			u.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{inc: {AliveAt: at}})
		},
		"streams": func(u *unrecordedRig, at time.Time) { u.own.RecordProgress(at) },
	}
	for name, sign := range signs {
		for _, drain := range []time.Duration{0, drain} {
			u := newUnrecordedRig(drain)
			u.own = u.Reserve(start, notes)
			u.own.RecordProgress(gone)
			if name != "streams" {
				u.own.Release(gone, dispatch.Served)
			}
			sign(u, gone)
			u.drop(gone, "s1")
			require.False(t, u.sends(gone.Add(100*time.Millisecond)), name+": only signs before the loss")
			for at := 200 * time.Millisecond; at < 6*time.Second; at += 100 * time.Millisecond {
				sign(u, gone.Add(at))
				require.Equal(t, name != "none" && drain > 0 && at < 1800*time.Millisecond, u.sends(gone.Add(at)), "%s %s", name, at)
			}
			back := gone.Add(6 * time.Second)
			u.put(back, leader("s1", "a"))
			u.own.RecordProgress(back)
			require.True(t, u.sends(back), "its record is back")
		}
	}
}

// Guards against requests to servers that can't take any: one that said before or after
// its record went that it leaves, one whose address another server has taken, one that
// restarted, and one whose record this process has never seen.
func TestServersThatHaveGoneGetNoRequests(t *testing.T) {
	inc := registry.Incarnation{ID: "s1", StartTime: 1}
	gone := start.Add(time.Second)
	another := leader("s2", "a")
	another.StartTime, another.Member, another.Address = 2, nil, "10.0.0.1"
	restarted := leader("s1", "a")
	restarted.StartTime, restarted.Member = 2, nil
	for name, change := range map[string]func(u *unrecordedRig){
		"still runs":     func(*unrecordedRig) {},
		"said it leaves": func(u *unrecordedRig) { u.SetView(u.registry.MarkLeaving(inc, gone)) },
		"address taken":  func(u *unrecordedRig) { u.put(gone, another) },
		"restarted":      func(u *unrecordedRig) { u.put(gone, restarted) },
		"never had one":  func(u *unrecordedRig) { u.SetView(&registry.View{}) },
	} {
		u := newUnrecordedRig(drain)
		at := gone.Add(300 * time.Millisecond)
		u.drop(gone, "s1")
		change(u)
		u.ObserveAlive(at, inc)
		require.Equal(t, name == "still runs", u.sends(at.Add(time.Millisecond)), name)
	}
}

// Guards against requests after the drain time to servers whose records the registry
// holds after an outage of the store: the time counts from when it learnt of the loss.
func TestRecordsHeldAfterAnOutageDoNotExtendTheDrainTime(t *testing.T) {
	u := newUnrecordedRig(time.Second)
	inc := registry.Incarnation{ID: "s1", StartTime: 1}
	learnt := start.Add(10 * time.Second) // after an outage
	u.drop(learnt, "s1")
	u.ObserveAlive(learnt.Add(time.Millisecond), inc)
	require.NotNil(t, u.registry.View().Servers["s1"], "the record is held")
	require.True(t, u.sends(learnt.Add(500*time.Millisecond)))
	require.False(t, u.sends(learnt.Add(700*time.Millisecond)))
	u.drop(learnt.Add(2500*time.Millisecond), "s2") // the record is not held any more
	require.Nil(t, u.registry.View().Servers["s1"])
	require.False(t, u.sends(learnt.Add(2500*time.Millisecond)))
}
