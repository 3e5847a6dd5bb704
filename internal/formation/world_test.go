package formation_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	zone    = "a"
	service = "notes"
	tick    = 100 * time.Millisecond
)

// membership is what a server believes of its own group.
type membership struct {
	group   registry.GroupID
	model   string
	members []string
	state   registry.GroupState
	readyAt time.Time
	openAt  time.Time
}

// host is one backend server of the world.
type host struct {
	id        string
	born      int64
	domain    string
	alive     bool
	cut       bool // from the store; requests still reach it
	staged    string
	lastModel string
	seen      int64 // highest epoch of this lifetime
	orders    int64
	member    *membership
	listed    bool // has an entry in the registry
	silentAt  time.Time
}

type lateOrder struct {
	at    time.Time
	order formation.Order
}

// world plays backend servers, their registry and the store's records.
type world struct {
	now     time.Time
	hosts   map[string]*host
	reg     *registry.Registry
	engine  *routes.Engine
	records map[registry.GroupID][]byte
	term    uint64
	steward *formation.Steward
	late    []lateOrder
	// ready holds which lifetimes were ever ready under a group.
	ready     map[registry.GroupID]map[string]bool
	lists     map[registry.GroupID][]string
	failing   map[string]time.Time
	broken    []string
	nextBorn  int64
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
		now: time.Unix(1000, 0), hosts: map[string]*host{}, nextBorn: 1,
		records: map[registry.GroupID][]byte{}, ready: map[registry.GroupID]map[string]bool{},
		lists: map[registry.GroupID][]string{}, failing: map[string]time.Time{}, recording: true, leaderJoins: map[registry.GroupID]int{},
		engine: &routes.Engine{
			Slots: 17, LoadsPerSecond: 50, LoadsAtOnce: 50,
			Models: []routes.Model{
				{Name: "large", GroupSize: 4, Share: 0.5, LoadTime: 3 * time.Second, WarmTime: time.Second},
				{Name: "small", GroupSize: 2, Share: 0.5, LoadTime: 2 * time.Second, WarmTime: time.Second},
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
	w.nextBorn++
	w.hosts[id] = &host{id: id, born: w.nextBorn, domain: domain, alive: true, listed: true}
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
	w.steward = formation.NewSteward(zone, []string{zone}, w.term, recorded)
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
		silent := !h.alive || h.cut
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
		changes = append(changes, registry.Change{ID: id, Server: h.entry(w.now)})
	}
	w.reg.Apply(changes, false, 1, w.now, w.now)
}

func (h *host) entry(now time.Time) *registry.Server {
	s := &registry.Server{
		ID: h.id, Born: h.born, Service: service, Address: h.id, Zone: zone, Domain: h.domain, Orders: h.orders, Seen: now,
	}
	if h.staged != "" {
		s.Staged = []string{h.staged}
	}
	if m := h.member; m != nil {
		s.Loaded = []string{m.model}
		s.Member = &registry.Membership{Group: m.group, Rank: slices.Index(m.members, h.id), State: m.state, Model: m.model}
	}
	return s
}

// contact answers direct questions for the steward.
func (w *world) contact(id string) formation.Contact {
	h := w.hosts[id]
	if h == nil || h.alive {
		delete(w.failing, id)
		return formation.Contact{}
	}
	if w.failing[id].IsZero() {
		w.failing[id] = w.now
	}
	return formation.Contact{FailingSince: w.failing[id]}
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
		w.apply(l.order)
	}
	for _, id := range w.hostIDs() {
		h := w.hosts[id]
		m := h.member
		if !h.alive || m == nil {
			continue
		}
		if m.state == registry.Joining && !w.now.Before(m.readyAt) {
			m.state, h.staged, h.lastModel = registry.Ready, m.model, m.model
			if w.ready[m.group] == nil {
				w.ready[m.group] = map[string]bool{}
			}
			w.ready[m.group][id] = true
		}
		if m.state == registry.Ready && !m.openAt.IsZero() && !w.now.Before(m.openAt) {
			m.openAt = time.Time{}
			m.state = registry.Open
			w.checkOpen(m)
		}
	}
}

// checkOpen holds the first promise: every member was ready under the group.
func (w *world) checkOpen(m *membership) {
	for _, member := range m.members {
		if !w.ready[m.group][member] {
			w.broken = append(w.broken, fmt.Sprintf("group %s opened although %s was never ready", m.group.Name, member))
		}
	}
}

// apply carries an order out at its server.
func (w *world) apply(o formation.Order) formation.Outcome {
	h := w.hosts[o.Server]
	w.tell("order %s %s of %s at %s (alive %v)", o.Operation, o.Group.Name, o.Model, o.Server, h != nil && h.alive)
	if h == nil || !h.alive {
		return formation.Unknown
	}
	switch o.Operation {
	case formation.Join:
		return w.join(h, o)
	case formation.Open:
		if h.member == nil || h.member.group != o.Group || h.member.state != registry.Ready {
			return formation.Misfit
		}
		h.member.openAt = w.now.Add(300 * time.Millisecond)
	case formation.Close:
		if h.member == nil || h.member.group != o.Group {
			return formation.Misfit
		}
		h.member.state, h.member.openAt = registry.Ready, time.Time{}
	case formation.Leave:
		if h.member == nil || h.member.group != o.Group {
			return formation.Done
		}
		h.member = nil
	case formation.Stage:
		h.staged = o.Model
	}
	h.orders++
	return formation.Begun
}

func (w *world) join(h *host, o formation.Order) formation.Outcome {
	if o.Group.Epoch < h.seen {
		return formation.Outdated
	}
	if m := h.member; m != nil && m.group == o.Group {
		return formation.Done
	}
	w.checkJoin(h, o)
	h.seen = o.Group.Epoch
	wait := 3 * time.Second
	switch {
	case h.lastModel == o.Model:
		wait = 200 * time.Millisecond
	case h.staged == o.Model:
		wait = time.Second
	}
	h.member = &membership{
		group: o.Group, model: o.Model, members: o.Members, state: registry.Joining, readyAt: w.now.Add(wait),
	}
	h.orders++
	return formation.Begun
}

// checkJoin holds the second promise: the leader of the old group serves no
// more, or its lifetime is over.
func (w *world) checkJoin(h *host, o formation.Order) {
	m := h.member
	if m == nil {
		return
	}
	leader := w.hosts[m.members[0]]
	if leader == nil || !leader.alive || leader.member == nil || leader.member.group != m.group {
		return
	}
	if s := leader.member.state; s == registry.Open || s == registry.Closing || !leader.member.openAt.IsZero() {
		w.broken = append(w.broken, fmt.Sprintf("%s joined %s while %s of its old group %s serves",
			h.id, o.Group.Name, leader.id, m.group.Name))
	}
}

// step lets the steward decide. lateBy returns for each order how much later
// it is carried out; its answer is lost then.
func (w *world) step(lateBy func() time.Duration) {
	d := w.steward.Step(w.now, w.reg.View(), service, w.engine, w.contact)
	for _, n := range d.Notes {
		w.tell("group %s %s: %s", n.Group.Name, n.Phase, n.Reason)
	}
	for _, g := range d.Record {
		if !w.recording {
			w.steward.Unrecorded(g.ID)
			continue
		}
		w.records[g.ID] = formation.EncodeGroup(g)
		w.steward.Recorded(g.ID, w.now)
	}
	for _, o := range d.Orders {
		h := w.hosts[o.Server]
		if o.Operation == formation.Join && o.Members[0] == o.Server {
			if w.leaderJoins[o.Group]++; w.leaderJoins[o.Group] > 1 {
				w.broken = append(w.broken, "the leader of "+o.Group.Name+" was told to join twice")
			}
		}
		if late := lateBy(); late > 0 {
			w.late = append(w.late, lateOrder{at: w.now.Add(late), order: o})
			w.steward.Outcome(o, h.born, formation.Unknown, w.now)
			continue
		}
		w.steward.Outcome(o, h.born, w.apply(o), w.now)
	}
	if w.recording && (len(d.Record) > 0 || w.now.UnixNano()%int64(time.Second) == 0) {
		for _, id := range d.Forget {
			delete(w.records, id)
		}
		w.steward.Forgotten(d.Forget)
	}
}

// crash ends a server's lifetime; restart begins the next one under its ID.
func (w *world) crash(id string) {
	w.tell("crash of %s", id)
	w.hosts[id].alive = false
}

func (w *world) restart(id string) {
	old := w.hosts[id]
	w.tell("restart of %s", id)
	w.nextBorn++
	w.hosts[id] = &host{id: id, born: w.nextBorn, domain: old.domain, alive: true, listed: true, staged: old.staged}
}
