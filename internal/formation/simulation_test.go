package formation_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	zone    = "a"
	service = "notes"
	tick    = 100 * time.Millisecond

	// brokenAfter is how long a leader without all its members stalls before it
	// becomes broken.
	brokenAfter = 6 * time.Second
)

// simHost adds the simulated faults and the registration state to a stand-in
// server.
type simHost struct {
	*standin.Host
	cutFromStore bool // from the store only; orders and probes still reach the server
	isolated     bool // from the store and the controller; the server keeps running
	// mute servers get orders and probes, but nothing that they send arrives.
	mute              bool
	hasRecord         bool // has a record in the registry
	unresponsiveSince time.Time
	// reregisterAt is when the server writes its record again.
	reregisterAt time.Time
}

type delayedOrder struct {
	at    time.Time
	order formation.Order
}

// simulation simulates the backend servers, their registry and the store's
// group records.
type simulation struct {
	now           time.Time
	servers       *standin.Hosts
	hosts         map[string]*simHost
	reg           *registry.Registry
	engine        *routes.Engine
	records       map[registry.GroupID][]byte
	term          uint64
	controller    *formation.Controller
	delayed       []delayedOrder
	failingSince  map[string]time.Time
	storeWritable bool
	// drain is the drain time of new controllers.
	drain time.Duration
	// leaderJoins counts the join orders to each group's leader.
	leaderJoins map[registry.GroupID]int
	// trace lists the events so far, for the failure message.
	trace []string
}

func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6.1f ", w.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func newSimulation(hosts int) *simulation {
	w := &simulation{
		now: time.Unix(1000, 0), hosts: map[string]*simHost{},
		servers: standin.NewHosts(standin.HostTiming{
			Load: 3 * time.Second, Warm: time.Second, Reconnect: 200 * time.Millisecond, Open: 300 * time.Millisecond, BrokenAfter: brokenAfter,
		}),
		records: map[registry.GroupID][]byte{}, failingSince: map[string]time.Time{}, storeWritable: true, leaderJoins: map[registry.GroupID]int{},
		engine: &routes.Engine{
			Slots: 17, LoadsPerSecond: 50, MaxConcurrentLoads: 50,
			Models: []routes.Model{
				{Name: "large", GroupSize: 4, InitialShare: 0.5, LoadTime: 3 * time.Second, WarmTime: time.Second},
				{Name: "small", GroupSize: 2, InitialShare: 0.5, LoadTime: 2 * time.Second, WarmTime: time.Second},
			},
		},
	}
	w.reg = registry.New(func(*registry.Server, *registry.Server) {})
	for i := range hosts {
		w.add(fmt.Sprintf("s%02d", i), fmt.Sprintf("d%d", i%2))
	}
	w.publish()
	w.newController()
	return w
}

func (w *simulation) add(id, domain string) {
	h := w.servers.Add(standin.Host{ID: id, Service: service, Address: id, Zone: zone, Domain: domain})
	w.hosts[id] = &simHost{Host: h, hasRecord: true}
}

// newController replaces the controller by one with the next term, which starts
// from the recorded groups.
func (w *simulation) newController() {
	w.term++
	w.tracef("controller of term %d with %d records", w.term, len(w.records))
	var recorded []*formation.Group
	for _, id := range sortedIDs(w.records) {
		g, err := formation.DecodeGroup(w.records[id], w.now)
		if err != nil {
			panic(err)
		}
		recorded = append(recorded, g)
	}
	w.controller = formation.NewController(zone, []string{zone}, w.term, brokenAfter, recorded)
	w.controller.SetDrainTime(w.drain)
}

func sortedIDs(records map[registry.GroupID][]byte) []registry.GroupID {
	ids := make([]registry.GroupID, 0, len(records))
	for id := range records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b registry.GroupID) int { return int(a.Epoch - b.Epoch) })
	return ids
}

// hostIDs returns the IDs of all hosts in sorted order.
func (w *simulation) hostIDs() []string {
	ids := make([]string, 0, len(w.hosts))
	for id := range w.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish updates the registry. Servers publish changes immediately; the record
// of an unresponsive server expires after three heartbeat intervals.
func (w *simulation) publish() {
	var changes []registry.Change
	for _, id := range w.hostIDs() {
		h := w.hosts[id]
		if w.now.Before(h.reregisterAt) {
			continue
		}
		unresponsive := !h.Alive || h.cutFromStore || h.isolated || h.mute
		if unresponsive && h.unresponsiveSince.IsZero() {
			h.unresponsiveSince = w.now
		}
		if !unresponsive {
			h.unresponsiveSince = time.Time{}
			h.hasRecord = true
		}
		if unresponsive && w.now.Sub(h.unresponsiveSince) > 3600*time.Millisecond {
			h.hasRecord = false
		}
		if !h.hasRecord {
			changes = append(changes, registry.Change{ID: id})
			continue
		}
		if unresponsive {
			continue
		}
		changes = append(changes, registry.Change{ID: id, Server: h.Record(w.now)})
	}
	w.reg.Apply(changes, false, 1, w.now, w.now)
}

// probe returns the result of the controller's probes of a server.
func (w *simulation) probe(id string) formation.ProbeResult {
	h := w.hosts[id]
	if h == nil || (h.Alive && !h.isolated && !h.mute) {
		delete(w.failingSince, id)
		return formation.ProbeResult{Answered: h != nil}
	}
	if w.failingSince[id].IsZero() {
		w.failingSince[id] = w.now
	}
	return formation.ProbeResult{FailingSince: w.failingSince[id]}
}

// advance moves the clock by one tick, applies the delayed orders that are due,
// and advances the servers.
func (w *simulation) advance() {
	w.now = w.now.Add(tick)
	due := w.delayed
	w.delayed = nil
	for _, o := range due {
		if o.at.After(w.now) {
			w.delayed = append(w.delayed, o)
			continue
		}
		w.tracef("delayed order %s %s at %s", o.order.Operation, o.order.Group.Name, o.order.Server)
		w.servers.Apply(w.now, o.order) // the order arrived before its server became unreachable
	}
	w.servers.Advance(w.now)
}

// apply carries out an order at its server.
func (w *simulation) apply(o formation.Order) formation.Outcome {
	h := w.hosts[o.Server]
	w.tracef("order %s %s of %s at %s (alive %v)", o.Operation, o.Group.Name, o.Model, o.Server, h != nil && h.Alive)
	if h == nil || h.isolated {
		return formation.Unknown
	}
	outcome := w.servers.Apply(w.now, o)
	if h.mute {
		return formation.Unknown
	}
	return outcome
}

// step runs one step of the controller and applies its decision. delay returns
// for each order how much later it is carried out; the outcome of a delayed
// order is lost.
func (w *simulation) step(delay func() time.Duration) { w.stepDecision(delay) }

// stepDecision is step, and returns the decision.
func (w *simulation) stepDecision(delay func() time.Duration) formation.Decision {
	d := w.controller.Step(w.now, w.reg.View(), service, w.engine, w.probe)
	for _, c := range d.PhaseChanges {
		w.tracef("group %s %s: %s", c.Group.Name, c.Phase, c.Reason)
	}
	for _, g := range d.NewGroups {
		if !w.storeWritable {
			w.controller.HandleRecordFailed(g.ID)
			continue
		}
		w.records[g.ID] = formation.EncodeGroup(g)
		w.controller.HandleRecorded(g.ID, w.now)
	}
	for _, o := range d.Orders {
		h := w.hosts[o.Server]
		if o.Operation == formation.Join && o.Members[0] == o.Server {
			if w.leaderJoins[o.Group]++; w.leaderJoins[o.Group] > 1 {
				w.servers.Violations = append(w.servers.Violations, "the leader of "+o.Group.Name+" was ordered to join twice")
			}
		}
		if late := delay(); late > 0 {
			w.delayed = append(w.delayed, delayedOrder{at: w.now.Add(late), order: o})
			w.controller.HandleOutcome(o, h.StartTime, formation.Unknown, w.now)
			continue
		}
		w.controller.HandleOutcome(o, h.StartTime, w.apply(o), w.now)
	}
	if w.storeWritable && (len(d.NewGroups) > 0 || w.now.UnixNano()%int64(time.Second) == 0) {
		for _, id := range d.ObsoleteRecords {
			delete(w.records, id)
		}
		w.controller.HandleRecordsDeleted(d.ObsoleteRecords)
	}
	return d
}

// crash ends a server's incarnation. restart begins the next one under the same
// ID.
func (w *simulation) crash(id string) {
	w.tracef("crash of %s", id)
	w.hosts[id].Alive = false
}

func (w *simulation) restart(id string) {
	w.tracef("restart of %s", id)
	w.hosts[id] = &simHost{Host: w.servers.Restart(id), hasRecord: true}
}
