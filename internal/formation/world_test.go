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

	// brokenAfter is how long a leader without all its members stands still.
	brokenAfter = 6 * time.Second
)

// host is what the world knows of a server beyond the stand-in.
type host struct {
	*standin.Host
	cut      bool // from the store; requests still reach it
	dark     bool // from everything, and goes on
	listed   bool // has an entry in the registry
	silentAt time.Time
	// backAt is when it writes its entry again.
	backAt time.Time
}

type lateOrder struct {
	at    time.Time
	order formation.Order
}

// world plays backend servers, their registry and the store's records.
type world struct {
	now       time.Time
	servers   *standin.Hosts
	hosts     map[string]*host
	reg       *registry.Registry
	engine    *routes.Engine
	records   map[registry.GroupID][]byte
	term      uint64
	steward   *formation.Controller
	late      []lateOrder
	failing   map[string]time.Time
	recording bool
	// leaderJoins counts how often each group's leader was told to join.
	leaderJoins map[registry.GroupID]int
	// trace tells what happened, for a failed case.
	trace []string
}

func (w *world) tell(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6.1f ", w.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func newWorld(hosts int) *world {
	w := &world{
		now: time.Unix(1000, 0), hosts: map[string]*host{},
		servers: standin.NewHosts(standin.HostTiming{
			Load: 3 * time.Second, Warm: time.Second, Reconnect: 200 * time.Millisecond, Open: 300 * time.Millisecond, Broken: brokenAfter,
		}),
		records: map[registry.GroupID][]byte{}, failing: map[string]time.Time{}, recording: true, leaderJoins: map[registry.GroupID]int{},
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
	w.newSteward()
	return w
}

func (w *world) add(id, domain string) {
	h := w.servers.Add(standin.Host{ID: id, Service: service, Address: id, Zone: zone, Domain: domain})
	w.hosts[id] = &host{Host: h, listed: true}
}

// newSteward lets another entry take the lease over, with the store's records.
func (w *world) newSteward() {
	w.term++
	w.tell("steward %d with %d records", w.term, len(w.records))
	var recorded []*formation.Group
	for _, id := range sortedIDs(w.records) {
		g, err := formation.DecodeGroup(w.records[id], w.now)
		if err != nil {
			panic(err)
		}
		recorded = append(recorded, g)
	}
	w.steward = formation.NewController(zone, []string{zone}, w.term, brokenAfter, recorded)
}

func sortedIDs(records map[registry.GroupID][]byte) []registry.GroupID {
	ids := make([]registry.GroupID, 0, len(records))
	for id := range records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b registry.GroupID) int { return int(a.Epoch - b.Epoch) })
	return ids
}

// hostIDs returns all hosts in a fixed order.
func (w *world) hostIDs() []string {
	ids := make([]string, 0, len(w.hosts))
	for id := range w.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish brings the registry up to date: servers tell changes at once, and a
// silent server's entry goes after three intervals.
func (w *world) publish() {
	var changes []registry.Change
	for _, id := range w.hostIDs() {
		h := w.hosts[id]
		if w.now.Before(h.backAt) {
			continue
		}
		silent := !h.Alive || h.cut || h.dark
		if silent && h.silentAt.IsZero() {
			h.silentAt = w.now
		}
		if !silent {
			h.silentAt = time.Time{}
			h.listed = true
		}
		if silent && w.now.Sub(h.silentAt) > 3600*time.Millisecond {
			h.listed = false
		}
		if !h.listed {
			changes = append(changes, registry.Change{ID: id})
			continue
		}
		if silent {
			continue
		}
		changes = append(changes, registry.Change{ID: id, Server: h.Entry(w.now)})
	}
	w.reg.Apply(changes, false, 1, w.now, w.now)
}

// contact answers direct questions for the steward.
func (w *world) contact(id string) formation.ProbeResult {
	h := w.hosts[id]
	if h == nil || (h.Alive && !h.dark) {
		delete(w.failing, id)
		return formation.ProbeResult{}
	}
	if w.failing[id].IsZero() {
		w.failing[id] = w.now
	}
	return formation.ProbeResult{FailingSince: w.failing[id]}
}

// move lets time pass for servers.
func (w *world) move() {
	w.now = w.now.Add(tick)
	due := w.late
	w.late = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.late = append(w.late, l)
			continue
		}
		w.tell("late order %s %s at %s", l.order.Operation, l.order.Group.Name, l.order.Server)
		w.servers.Apply(w.now, l.order) // it had arrived before its server got out of reach
	}
	w.servers.Move(w.now)
}

// apply carries an order out at its server.
func (w *world) apply(o formation.Order) formation.Outcome {
	h := w.hosts[o.Server]
	w.tell("order %s %s of %s at %s (alive %v)", o.Operation, o.Group.Name, o.Model, o.Server, h != nil && h.Alive)
	if h == nil || h.dark {
		return formation.Unknown
	}
	return w.servers.Apply(w.now, o)
}

// step lets the steward decide. lateBy returns for each order how much later
// it is carried out; its answer is lost then.
func (w *world) step(lateBy func() time.Duration) {
	d := w.steward.Step(w.now, w.reg.View(), service, w.engine, w.contact)
	for _, n := range d.PhaseChanges {
		w.tell("group %s %s: %s", n.Group.Name, n.Phase, n.Reason)
	}
	for _, g := range d.NewGroups {
		if !w.recording {
			w.steward.HandleRecordFailed(g.ID)
			continue
		}
		w.records[g.ID] = formation.EncodeGroup(g)
		w.steward.HandleRecorded(g.ID, w.now)
	}
	for _, o := range d.Orders {
		h := w.hosts[o.Server]
		if o.Operation == formation.Join && o.Members[0] == o.Server {
			if w.leaderJoins[o.Group]++; w.leaderJoins[o.Group] > 1 {
				w.servers.Broken = append(w.servers.Broken, "the leader of "+o.Group.Name+" was told to join twice")
			}
		}
		if late := lateBy(); late > 0 {
			w.late = append(w.late, lateOrder{at: w.now.Add(late), order: o})
			w.steward.HandleOutcome(o, h.Born, formation.Unknown, w.now)
			continue
		}
		w.steward.HandleOutcome(o, h.Born, w.apply(o), w.now)
	}
	if w.recording && (len(d.NewGroups) > 0 || w.now.UnixNano()%int64(time.Second) == 0) {
		for _, id := range d.ObsoleteRecords {
			delete(w.records, id)
		}
		w.steward.HandleRecordsDeleted(d.ObsoleteRecords)
	}
}

// crash ends a server's lifetime; restart begins the next one under its ID.
func (w *world) crash(id string) {
	w.tell("crash of %s", id)
	w.hosts[id].Alive = false
}

func (w *world) restart(id string) {
	w.tell("restart of %s", id)
	w.hosts[id] = &host{Host: w.servers.Restart(id), listed: true}
}
