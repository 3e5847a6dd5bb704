package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// trio is an open group of three whose controller keeps groups without records.
type trio struct {
	start      time.Time
	controller *formation.Controller
	view       *registry.View
	group      registry.GroupID
	probes     map[string]formation.ProbeResult
}

func newTrio() *trio {
	w := &trio{start: time.Unix(1000, 0), group: registry.GroupID{Name: "g", Epoch: 1}, probes: map[string]formation.ProbeResult{}}
	members, view := openGroup(w.group)
	w.view = view
	w.controller = formation.NewController(zone, []string{zone}, 1, brokenAfter,
		[]*formation.Group{formation.RestoreGroup(w.group, "large", members, w.start)})
	w.controller.SetDrainTime(drain)
	w.step(0)
	return w
}

func (w *trio) step(at time.Duration) formation.Decision {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	return w.controller.Step(w.start.Add(at), w.view, service, engine, func(id string) formation.ProbeResult { return w.probes[id] })
}

// orders returns the orders of the steps between two times, without repeats.
func (w *trio) orders(from, to time.Duration) []formation.Order {
	var list []formation.Order
	for at := from; at < to; at += tick {
		for _, o := range w.step(at).Orders {
			if len(list) == 0 || list[len(list)-1].Operation != o.Operation || list[len(list)-1].Server != o.Server {
				list = append(list, o)
			}
		}
	}
	return list
}

// drop deletes a server's record and returns it.
func (w *trio) drop(id string, at time.Duration) *registry.Server {
	s := w.view.Servers[id]
	w.view.Removed[id], w.view.RemovedAt[id] = s, w.start.Add(at)
	delete(w.view.Servers, id)
	return s
}

func (w *trio) put(s *registry.Server) {
	w.view.Servers[s.ID] = s
	delete(w.view.Removed, s.ID)
	delete(w.view.RemovedAt, s.ID)
}

func (w *trio) order(op formation.Operation) []formation.Order {
	return []formation.Order{{Server: "s0", Operation: op, Group: w.group}}
}

// Guards against closing the group of a member that is only cut off from the store. Its
// group is closed only when the record has been away for 12 s or the streams are
// stalled, and ended when the member has not answered for 0.5 s, has restarted, or
// another server has its address.
func TestGroupOfAMemberWithoutRecordIsKept(t *testing.T) {
	answers := formation.ProbeResult{Answered: true}
	for name, test := range map[string]struct {
		change    func(w *trio, at time.Duration)
		closedAt  time.Duration
		operation formation.Operation
	}{
		"answers": {func(*trio, time.Duration) {}, 12 * time.Second, formation.Close},
		"streams stall": {func(w *trio, _ time.Duration) {
			w.probes["s0"] = formation.ProbeResult{Stalled: true}
		}, 1500 * time.Millisecond, formation.Close},
		"is silent": {func(w *trio, at time.Duration) {
			w.probes["s2"] = formation.ProbeResult{FailingSince: w.start.Add(at)}
		}, 1500 * time.Millisecond, formation.Leave},
		"refuses": {func(w *trio, at time.Duration) {
			w.probes["s2"] = formation.ProbeResult{FailingSince: w.start.Add(at), Refused: true}
		}, time.Second, formation.Leave},
		"leaves": {func(w *trio, _ time.Duration) {
			w.view.Removed["s2"].Leaving = true
		}, time.Second, formation.Close},
		"was replaced": {func(w *trio, _ time.Duration) {
			w.put(&registry.Server{ID: "s9", StartTime: 2, Zone: "b", Address: "10.0.0.s2"})
		}, time.Second, formation.Leave},
		"restarted": {func(w *trio, _ time.Duration) {
			w.put(&registry.Server{ID: "s2", StartTime: 2, Zone: "b", Service: service})
		}, time.Second, formation.Leave},
	} {
		w := newTrio()
		w.drop("s2", tick)
		require.Empty(t, w.step(tick).Orders, name)
		w.probes["s2"] = answers
		d := w.step(2 * tick)
		require.Empty(t, d.Orders, name)
		require.Contains(t, d.ServersToProbe, "s2", name)
		test.change(w, time.Second)
		require.Empty(t, w.orders(time.Second, test.closedAt), name)
		require.Equal(t, w.order(test.operation), w.orders(test.closedAt, test.closedAt+3*tick), name)
	}
}

// Guards against orders to a leader that only lost its record, and against a longer pause
// than the missing record causes: with its record back the group serves as before.
func TestLeaderWithoutRecordGetsNoOrders(t *testing.T) {
	w := newTrio()
	leader := w.drop("s0", tick)
	w.probes["s0"] = formation.ProbeResult{Answered: true}
	require.Empty(t, w.orders(tick, 11*time.Second))
	w.put(leader)
	require.Empty(t, w.orders(11*time.Second, 30*time.Second))
	require.Equal(t, formation.Serving, w.controller.Groups()[0].Phase)
}

// Guards against disbanding a group whose records are back before it has closed: it opens
// again. It doesn't if a member has left it or is leaving meanwhile.
func TestClosedGroupOpensAgainWhenItsRecordsAreBack(t *testing.T) {
	for name, change := range map[string]func(w *trio){
		"all ready":  func(*trio) {},
		"one left":   func(w *trio) { w.view.Servers["s1"].Member = nil },
		"one leaves": func(w *trio) { w.view.Servers["s1"].Leaving = true },
	} {
		w := newTrio()
		member := w.drop("s2", tick)
		w.probes["s2"] = formation.ProbeResult{Answered: true}
		w.orders(tick, 13*time.Second)
		w.view.Servers["s0"].Member.State = registry.Closing
		require.Equal(t, formation.Draining, w.controller.Groups()[0].Phase)
		w.put(member)
		change(w)
		w.view.Servers["s0"].Member.State = registry.Ready
		want := formation.Leave
		if name == "all ready" {
			want = formation.Open
		}
		require.Equal(t, w.order(want), w.orders(14*time.Second, 14*time.Second+5*tick), name)
	}
}

// Guards against the loss of all groups of a model at the time at which records that
// went together have been away for 12 s: half of them end in 2 s.
func TestMissingRecordsEndHalfOfTheGroupsAtATime(t *testing.T) {
	w := newSimulation(20)
	w.drain = drain
	w.newController()
	w.run(10*time.Second, noDelay)
	for _, h := range w.hosts {
		h.cutFromStore = h.Member != nil && h.Member.State != registry.Open
	}
	open := w.openGroups("small")
	require.Equal(t, 4, open)
	gone := 3700 * time.Millisecond
	require.Equal(t, open, w.fewestUsable(gone + 11*time.Second)["small"])
	require.Equal(t, open/2, w.fewestUsable(2 * time.Second)["small"])
	require.Less(t, w.fewestUsable(3 * time.Second)["small"], open/2)
	require.Empty(t, w.servers.Violations)
}

// Guards against a long repair after a departure: while the group still serves, a free
// server loads the weights for a replacement. After the loss of many records at one
// moment none does, because the servers have lost the store and not left.
func TestReplacementIsStagedWhileTheGroupStillServes(t *testing.T) {
	for _, departed := range []bool{true, false} {
		w := newTrio()
		w.view.Servers["n0"] = &registry.Server{ID: "n0", StartTime: 1, Service: service, Zone: zone, Domain: "d", Staged: []string{"other"}}
		w.drop("s2", tick)
		if !departed {
			for _, id := range []string{"x1", "x2"} {
				w.view.Removed[id], w.view.RemovedAt[id] = &registry.Server{ID: id, Zone: zone}, w.start
			}
		}
		w.probes["s2"] = formation.ProbeResult{Answered: true}
		var want []formation.Order
		if departed {
			want = []formation.Order{{Server: "n0", Operation: formation.Stage, Model: "large"}}
		}
		require.Equal(t, want, w.orders(tick, time.Second))
		require.Equal(t, formation.Serving, w.controller.Groups()[0].Phase)
	}
}
