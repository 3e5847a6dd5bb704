package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// lostAfter is how long a member must leave direct questions unanswered
	// before its group is given up; two questions fail in that time.
	lostAfter = 500 * time.Millisecond
	// brokenMargin is added to the time after which a leader without all its
	// members is broken: it may count from when it notices.
	brokenMargin = 500 * time.Millisecond
	// lateOrder is how long an order without an answer may take until it is
	// carried out (the platform's page on disturbances).
	lateOrder = 12 * time.Second
	// leaderGoneAfter is how long the only member of a group must be without an
	// entry and leave direct questions unanswered before it counts as gone. One
	// that is only cut off from the store answers them.
	leaderGoneAfter = 1500 * time.Millisecond
	// entryBack is how long after the store's return entries that lapsed while
	// it was away may take to come back (the platform's page on discovery).
	entryBack = 2 * time.Second
	// resendAfter is how long an order may go unanswered or without effect; an
	// answer takes some milliseconds.
	resendAfter = time.Second
	// leaderJoinTimeout is how long a leader's join may go without an answer and
	// without effect; servers tell of changes within a round trip.
	leaderJoinTimeout = 1500 * time.Millisecond
	// formingTimeout bounds a group's formation: the longest load, slowed by
	// others.
	formingTimeout = 45 * time.Second
	// drainTimeout is how long requests of a closing group may take before its
	// leader leaves: a draining member stays 10 s at most while there is work.
	drainTimeout = 8 * time.Second
)

// ProbeResult is what direct questions to a server showed.
type ProbeResult struct {
	// FailingSince is when the first of the unanswered questions was asked;
	// zero after an answer.
	FailingSince time.Time
	// Refused says that nothing listens at the address any more.
	Refused bool
}

// Controller decides for one zone. It is not safe for concurrent use.
type Controller struct {
	zone  string
	zones int
	// brokenAfter is how long a leader without all its members may serve again.
	brokenAfter time.Duration
	epoch       int64
	number      int64
	groups      map[registry.GroupID]*Group
	sent        map[orderKey]sentOrder
	loads       *loadLimit
	// domains holds the domain of each group that was planned or inherited.
	domains map[registry.GroupID]string
	// now is the time of the current step.
	now time.Time
	// forget lists groups whose record has become needless.
	forget []registry.GroupID
	// lead says that no request has come yet since the fleet's first start.
	lead bool
	// known are the lifetimes seen so far, and arrivedAt when the last came.
	known     map[registry.Incarnation]bool
	arrivedAt time.Time
}

type orderKey struct {
	server    registry.Incarnation
	operation Operation
	group     registry.GroupID
	model     string
}

type sentOrder struct {
	at      time.Time
	outcome Outcome
}

// epochStep is how many groups one term of stewardship can form.
const epochStep = 1 << 20

// NewController returns the Steward of a zone, one of all zones. The term is
// higher than that of every earlier steward of the zone; recorded are the
// groups that the store holds.
//
// brokenAfter is how long a leader that has lost a member stands still before it
// is broken.
func NewController(zone string, zones []string, term uint64, brokenAfter time.Duration, recorded []*Group) *Controller {
	rank := max(slices.Index(slices.Sorted(slices.Values(zones)), zone), 0)
	s := &Controller{
		zone: zone, zones: max(len(zones), 1), brokenAfter: brokenAfter, epoch: int64(term) * epochStep,
		groups: make(map[registry.GroupID]*Group), sent: make(map[orderKey]sentOrder), domains: make(map[registry.GroupID]string),
		loads: newLoadLimit(rank), known: make(map[registry.Incarnation]bool),
	}
	s.inherit(recorded)
	return s
}

// inherit takes over recorded groups. A member of two of them belongs to the
// newer one: that was planned after the older one was over.
func (s *Controller) inherit(recorded []*Group) {
	newestFirst := slices.SortedFunc(slices.Values(recorded), func(a, b *Group) int {
		return cmp.Compare(b.ID.Epoch, a.ID.Epoch)
	})
	taken := make(map[registry.Incarnation]bool)
	for _, g := range newestFirst {
		superseded := slices.ContainsFunc(g.Members, func(l registry.Incarnation) bool { return taken[l] })
		if superseded {
			s.forget = append(s.forget, g.ID)
			continue
		}
		s.groups[g.ID] = g
		for _, l := range g.Members {
			taken[l] = true
		}
	}
}

// Decision is what one step came to.
type Decision struct {
	// Record lists new groups: they get orders once Recorded is told.
	NewGroups []*Group
	// Forget lists groups whose record is needless, until Forgotten is told.
	// It goes into the store in one write with Record: a new group may hold
	// members of an old one.
	ObsoleteRecords []registry.GroupID
	Orders          []Order
	// Notes are the reasons of what changed, for the log.
	PhaseChanges []PhaseChange
	// Suspects are servers that should be asked directly.
	Suspects []string
}

// PhaseChange explains one change.
type PhaseChange struct {
	Group  registry.GroupID
	Model  string
	Phase  Phase
	Reason string
	After  time.Duration
}

// Groups returns the known groups in order of their epochs.
func (s *Controller) Groups() []*Group {
	list := make([]*Group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Group) int {
		if a.ID.Epoch != b.ID.Epoch {
			return int(a.ID.Epoch - b.ID.Epoch)
		}
		return strings.Compare(a.ID.Name, b.ID.Name)
	})
	return list
}

// HandleRecorded tells that the store holds the group.
func (s *Controller) HandleRecorded(id registry.GroupID, now time.Time) {
	if g := s.groups[id]; g != nil && g.Phase == Planned {
		g.enter(Forming, now, "")
	}
}

// HandleRecordsDeleted tells that the store holds no record of the groups any more.
func (s *Controller) HandleRecordsDeleted(ids []registry.GroupID) {
	s.forget = slices.DeleteFunc(s.forget, func(id registry.GroupID) bool { return slices.Contains(ids, id) })
}

// HandleRecordFailed tells that the store took no record of the group.
func (s *Controller) HandleRecordFailed(id registry.GroupID) {
	delete(s.groups, id)
}

// HandleOutcome tells what became of an order.
func (s *Controller) HandleOutcome(o Order, born int64, outcome Outcome, now time.Time) {
	key := orderKey{registry.Incarnation{ID: o.Server, StartTime: born}, o.Operation, o.Group, o.Model}
	s.sent[key] = sentOrder{at: now, outcome: outcome}
	g := s.groups[o.Group]
	if g != nil && o.Operation == Leave && key.server != g.leader() && (outcome == Begun || outcome == Done) {
		g.lacksMember(now)
	}
}

// SetBootstrapping says whether the fleet still waits for its first request.
func (s *Controller) SetBootstrapping(lead bool) { s.lead = lead }

// Step decides from the view, the service's engine and direct contacts.
func (s *Controller) Step(now time.Time, v *registry.View, service string, e *routes.Engine, contact func(id string) ProbeResult) Decision {
	s.now = now
	d := &Decision{}
	if v.Version == 0 {
		s.await(now)
		return *d
	}
	for id, g := range s.groups {
		if leader := v.Servers[g.leader().ID]; leader != nil && s.domains[id] == "" {
			s.domains[id] = leader.Domain
		}
	}
	for _, g := range s.Groups() {
		s.follow(g, now, v, e, contact, d)
	}
	if !s.arriving(now, v, service) {
		s.plan(now, v, service, e, contact, d)
	}
	for id, g := range s.groups {
		if g.Phase == Ended {
			delete(s.groups, id)
			delete(s.domains, id)
			s.forget = append(s.forget, id)
		}
	}
	d.ObsoleteRecords = s.forget
	return *d
}

// await lets groups go on as they are while no server's entry was read.
func (s *Controller) await(now time.Time) {
	for _, g := range s.groups {
		g.Since = now
	}
}

func (d *Decision) note(g *Group, reason string, now time.Time) {
	d.PhaseChanges = append(d.PhaseChanges, PhaseChange{
		Group: g.ID, Model: g.Model, Phase: g.Phase, Reason: reason, After: now.Sub(g.Since),
	})
}

func (s *Controller) move(g *Group, p Phase, now time.Time, reason string, d *Decision) {
	after := now.Sub(g.Since)
	g.enter(p, now, reason)
	d.PhaseChanges = append(d.PhaseChanges, PhaseChange{Group: g.ID, Model: g.Model, Phase: p, Reason: reason, After: after})
}

// order adds an order unless the same one is under way.
func (s *Controller) order(now time.Time, l registry.Incarnation, o Order, d *Decision) {
	o.Server = l.ID
	key := orderKey{l, o.Operation, o.Group, o.Model}
	if last, found := s.sent[key]; found {
		wait := resendAfter
		if last.outcome == Begun && (o.Operation == Join || o.Operation == Stage) {
			wait = formingTimeout
		}
		if now.Sub(last.at) < wait {
			return
		}
	}
	s.sent[key] = sentOrder{at: now}
	d.Orders = append(d.Orders, o)
}

// arrivalPause is how long no new server may have come before groups are
// planned at the fleet's first start: a plan over half of the servers puts
// groups and spares unevenly into domains.
const arrivalPause = 400 * time.Millisecond

// arriving reports whether the fleet starts and its servers still register.
func (s *Controller) arriving(now time.Time, v *registry.View, service string) bool {
	if !s.lead {
		return false
	}
	for _, srv := range v.Servers {
		if srv.Zone == s.zone && srv.Service == service && !s.known[srv.Incarnation()] {
			s.known[srv.Incarnation()] = true
			s.arrivedAt = now
		}
	}
	return now.Sub(s.arrivedAt) < arrivalPause
}

func (s *Controller) nextID() registry.GroupID {
	s.number++
	epoch := s.epoch + s.number
	return registry.GroupID{Name: fmt.Sprintf("%s-%d", s.zone, epoch), Epoch: epoch}
}
