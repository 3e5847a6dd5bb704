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
	probes     map[string]formation.ProbeResult
	// probed lists the servers that the last step asked to be probed.
	probed []string
}

func newTrio() *trio {
	g, start := registry.GroupID{Name: "g", Epoch: 1}, time.Unix(1000, 0)
	members, view := openGroup(g)
	restored := formation.RestoreGroup(g, "large", members, start)
	w := &trio{
		start: start, view: view, probes: map[string]formation.ProbeResult{},
		controller: formation.NewController(zone, []string{zone}, 1, brokenAfter, []*formation.Group{restored}),
	}
	w.controller.SetDrainTime(drain)
	w.orders(0, tick)
	return w
}

// orders returns the operations that are ordered in the steps between two times, and at
// which servers, without repeats.
func (w *trio) orders(from, to time.Duration) []string {
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 3, InitialShare: 1}}}
	var list []string
	for at := from; at < to; at += tick {
		d := w.controller.Step(w.start.Add(at), w.view, service, engine, func(id string) formation.ProbeResult { return w.probes[id] })
		w.probed = d.ServersToProbe
		for _, o := range d.Orders {
			if text := string(o.Operation) + " " + o.Server; len(list) == 0 || list[len(list)-1] != text {
				list = append(list, text)
			}
		}
	}
	return list
}

// drop deletes the record of a server that goes on to answer, and returns it.
func (w *trio) drop(id string) *registry.Server {
	s := w.view.Servers[id]
	w.view.Removed[id], w.view.RemovedAt[id] = s, w.start
	delete(w.view.Servers, id)
	w.probes[id] = formation.ProbeResult{Answered: true}
	return s
}

// claimAddress adds the later record of a server "s9" that states the address.
func (w *trio) claimAddress(address string) {
	w.put(&registry.Server{
		ID: "s9", StartTime: 2, Service: service, Zone: zone, Address: address, Domain: "d", Staged: []string{"large"},
	})
}

func (w *trio) put(s *registry.Server) {
	w.view.Servers[s.ID] = s
	delete(w.view.Removed, s.ID)
}

// Guards against closing the group of a member that is only cut off from the store. Its
// group is closed only when the record has been away for 12 s or the streams are
// stalled, and ended when the member has not answered for 0.5 s, has restarted, or
// another server answers at its address.
func TestGroupOfAMemberWithoutRecordIsKept(t *testing.T) {
	since := time.Unix(1001, 0)
	for name, test := range map[string]struct {
		change func(w *trio)
		at     time.Duration
		order  string
	}{
		"answers":       {func(*trio) {}, 12 * time.Second, "close s0"},
		"streams stall": {func(w *trio) { w.probes["s0"] = formation.ProbeResult{Stalled: true} }, 1500 * time.Millisecond, "close s0"},
		"is silent":     {func(w *trio) { w.probes["s2"] = formation.ProbeResult{FailingSince: since} }, 1500 * time.Millisecond, "leave s0"},
		"refuses":       {func(w *trio) { w.probes["s2"] = formation.ProbeResult{FailingSince: since, Refused: true} }, time.Second, "leave s0"},
		"leaves":        {func(w *trio) { w.view.Removed["s2"].Leaving = true }, time.Second, "close s0"},
		"was replaced": {func(w *trio) {
			w.claimAddress("10.0.0.s2")
			w.probes["s9"] = formation.ProbeResult{Answered: true}
		}, time.Second, "leave s0"},
		"address is claimed": {func(w *trio) { w.claimAddress("10.0.0.s2") }, 12 * time.Second, "close s0"},
		"restarted":          {func(w *trio) { w.put(&registry.Server{ID: "s2", StartTime: 2}) }, time.Second, "leave s0"},
	} {
		w := newTrio()
		w.drop("s2")
		require.Empty(t, w.orders(tick, time.Second), name)
		test.change(w)
		require.Empty(t, w.orders(time.Second, test.at), name)
		require.Equal(t, []string{test.order}, w.orders(test.at, test.at+3*tick), name)
	}
}

// Guards against a longer pause than the missing record causes. A leader without a record
// gets no orders, and its group serves as before when the record is back. A group that
// was closed meanwhile opens again, unless a member has left it or is leaving.
func TestGroupServesAgainWhenItsRecordsAreBack(t *testing.T) {
	w := newTrio()
	leader := w.drop("s0")
	require.Empty(t, w.orders(tick, 11*time.Second))
	w.put(leader)
	require.Empty(t, w.orders(11*time.Second, 30*time.Second))
	for want, change := range map[string]func(w *trio){
		"open s0":  func(*trio) {},
		"leave s0": func(w *trio) { w.view.Servers["s1"].Member = nil },
	} {
		w := newTrio()
		member := w.drop("s2")
		require.Equal(t, []string{"close s0"}, w.orders(tick, 13*time.Second))
		w.put(member)
		change(w)
		w.view.Servers["s0"].Member.State = registry.Ready
		require.Equal(t, []string{want}, w.orders(14*time.Second, 14*time.Second+5*tick))
	}
}

// Guards against the loss of all groups of a model when records that went together have
// been away for 12 s: at most half of the groups end in 2 s.
func TestMissingRecordsEndHalfOfTheGroupsAtATime(t *testing.T) {
	w := newSimulation(20)
	w.drain = drain
	w.newController()
	w.run(10*time.Second, noDelay)
	for _, h := range w.hosts {
		h.cutFromStore = h.Member != nil && h.Member.State != registry.Open
	}
	require.Equal(t, 4, w.fewestUsable(14700 * time.Millisecond)["small"])
	require.Equal(t, 2, w.fewestUsable(2 * time.Second)["small"])
	require.Less(t, w.fewestUsable(3 * time.Second)["small"], 2)
}

// Guards against a long repair after a departure: while the group still serves, a free
// server loads the weights for a replacement. After the loss of many records at one
// moment none does, because the servers have lost the store and not left.
func TestReplacementIsStagedWhileTheGroupStillServes(t *testing.T) {
	for _, want := range [][]string{{"stage n0"}, nil} {
		w := newTrio()
		w.view.Servers["n0"] = &registry.Server{ID: "n0", StartTime: 1, Service: service, Zone: zone, Domain: "d", Staged: []string{"other"}}
		w.drop("s2")
		if want == nil {
			for _, id := range []string{"x1", "x2"} {
				w.view.Removed[id], w.view.RemovedAt[id] = &registry.Server{ID: id, Zone: zone}, w.start
			}
		}
		require.Equal(t, want, w.orders(tick, time.Second))
	}
}
