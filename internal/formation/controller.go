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
	// memberTimeout is how long the probes of a member must fail before its group
	// is ended. Two probes fail in that time.
	memberTimeout = 500 * time.Millisecond
	// brokenMargin is added to brokenAfter, because the leader may count from the
	// time at which it notices the loss of a member.
	brokenMargin = 500 * time.Millisecond
	// maxOrderDelay is the longest time after which an order without a response may
	// still be carried out.
	maxOrderDelay = 12 * time.Second
	// soleMemberTimeout is how long the only member of a group must have no record
	// and fail its probes before the group's record is deleted. A server that is only
	// cut off from the store still responds to probes.
	soleMemberTimeout = 1500 * time.Millisecond
	// reregisterGrace is how long after a store outage the servers may take to
	// write their expired records again.
	reregisterGrace = 2 * time.Second
	// resendAfter is how long after an order or its outcome the same order may be
	// sent again if it had no effect. An answer takes a few milliseconds.
	resendAfter = time.Second
	// leaderJoinTimeout is how long a leader's join order may have no response or
	// effect. Servers publish changes within a round trip.
	leaderJoinTimeout = 1500 * time.Millisecond
	// formingTimeout bounds the formation of a group. It covers the longest load
	// when concurrent loads slow it down.
	formingTimeout = 45 * time.Second
	// drainTimeout is how long the requests of a closing group may take before its
	// leader is ordered to leave. A draining member stays at most 10 s while it has
	// work.
	drainTimeout = 8 * time.Second
)

// ProbeResult is the result of the recent probes of a server.
type ProbeResult struct {
	// FailingSince is when the first of the consecutive unanswered probes was
	// sent. It is zero if the last probe was answered.
	FailingSince time.Time
	// Refused reports that the connection was refused: no process listens at the
	// address any more.
	Refused bool
	// Answered reports that the last probe was answered, or that a peer's requests
	// make progress on the server.
	Answered bool
	// Stalled reports that requests of an entry at the server make no progress, and
	// those of no other entry do.
	Stalled bool
	// Advancing reports that streams of an entry from the server make progress.
	Advancing bool
}

// Controller decides about the groups of one zone. It is not safe for
// concurrent use.
type Controller struct {
	zone  string
	zones int
	// brokenAfter is how long after losing a member a leader may still resume
	// serving.
	brokenAfter time.Duration
	epochBase   int64
	groupSeq    int64
	groups      map[registry.GroupID]*Group
	sentOrders  map[orderKey]sentOrder
	loadLimiter *loadLimiter
	// domains holds the fabric domain of each group. A restored group's domain is
	// added once its leader has a record.
	domains map[registry.GroupID]string
	// now is the time of the current step.
	now time.Time
	// earliestView is the time that a view must include every change before.
	earliestView time.Time
	// obsoleteRecords lists the groups whose record can be deleted.
	obsoleteRecords []registry.GroupID
	// bootstrapping reports that no request has arrived yet since the first start
	// of the fleet.
	bootstrapping bool
	// seen holds the incarnations observed while bootstrapping, firstSeenAt and
	// lastSeenAt are when the first and the last of them appeared.
	seen        map[registry.Incarnation]bool
	firstSeenAt time.Time
	lastSeenAt  time.Time
	planner     demandPlanner
	// drain is the drain time (SetDrainTime). closures lists the latest groups that
	// ended for missing records alone.
	drain    time.Duration
	closures []closure
}

type orderKey struct {
	server    registry.Incarnation
	operation Operation
	group     registry.GroupID
	model     string
}

type sentOrder struct {
	// at is when the outcome was received or, before that, when the order was
	// issued.
	at      time.Time
	outcome Outcome
}

// epochsPerTerm is how many groups a controller can form in one lease term.
const epochsPerTerm = 1 << 20

// NewController returns the Controller of a zone; zones lists all zones. The
// term must be higher than the terms of all earlier controllers of the zone.
// recorded holds the groups in the store.
//
// brokenAfter is how long a leader that has lost a member stalls before it
// becomes broken.
func NewController(zone string, zones []string, term uint64, brokenAfter time.Duration, recorded []*Group) *Controller {
	rank := max(slices.Index(slices.Sorted(slices.Values(zones)), zone), 0)
	c := &Controller{
		zone: zone, zones: max(len(zones), 1), brokenAfter: brokenAfter, epochBase: int64(term) * epochsPerTerm,
		groups: make(map[registry.GroupID]*Group), sentOrders: make(map[orderKey]sentOrder), domains: make(map[registry.GroupID]string),
		loadLimiter: newLoadLimiter(rank), seen: make(map[registry.Incarnation]bool),
		planner: demandPlanner{mismatchSince: make(map[modelDomain]time.Time)},
	}
	c.restore(recorded)
	return c
}

// restore takes over recorded groups. If two of them share a member, the newer
// one is kept: it was planned after the older one had ended.
func (c *Controller) restore(recorded []*Group) {
	newestFirst := slices.SortedFunc(slices.Values(recorded), func(a, b *Group) int {
		return cmp.Compare(b.ID.Epoch, a.ID.Epoch)
	})
	assigned := make(map[registry.Incarnation]bool)
	for _, g := range newestFirst {
		superseded := slices.ContainsFunc(g.Members, func(m registry.Incarnation) bool { return assigned[m] })
		if superseded {
			c.obsoleteRecords = append(c.obsoleteRecords, g.ID)
			continue
		}
		c.groups[g.ID] = g
		for _, m := range g.Members {
			assigned[m] = true
		}
	}
}

// Decision is the result of one step.
type Decision struct {
	// NewGroups lists groups to record in the store. They receive orders only
	// after HandleRecorded.
	NewGroups []*Group
	// ObsoleteRecords lists groups whose record is to be deleted, until
	// HandleRecordsDeleted confirms it. The deletion must be in the same store write
	// as NewGroups, because a new group may contain members of an old one. Together
	// they fit into one transaction; the next step continues with what is left.
	ObsoleteRecords []registry.GroupID
	Orders          []Order
	// PhaseChanges lists the phase changes and their reasons, for the log.
	PhaseChanges []PhaseChange
	// ServersToProbe lists the servers to probe.
	ServersToProbe []string
	// Plan describes the plan of the groups by model, for the log and the metrics. It
	// is nil if the step planned nothing.
	Plan *PlanReport
	// Kept lists the groups that go on because members without a record answer probes.
	Kept []KeptGroup
}

// PhaseChange describes the change of a group to another phase.
type PhaseChange struct {
	Group  registry.GroupID
	Model  string
	Phase  Phase
	Reason string
	// After is how long the group was in its previous phase.
	After time.Duration
}

// Groups returns the current groups ordered by epoch.
func (c *Controller) Groups() []*Group {
	list := make([]*Group, 0, len(c.groups))
	for _, g := range c.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.ID.Epoch, b.ID.Epoch), strings.Compare(a.ID.Name, b.ID.Name))
	})
	return list
}

// HandleRecorded processes the confirmation that the group is in the store.
func (c *Controller) HandleRecorded(id registry.GroupID, now time.Time) {
	if g := c.groups[id]; g != nil && g.Phase == Planned {
		g.setPhase(Forming, now, "")
	}
}

// HandleRecordsDeleted processes the confirmation that the store no longer
// holds the records of the groups.
func (c *Controller) HandleRecordsDeleted(ids []registry.GroupID) {
	c.obsoleteRecords = slices.DeleteFunc(c.obsoleteRecords, func(id registry.GroupID) bool { return slices.Contains(ids, id) })
}

// HandleRecordFailed drops a group that the store did not accept.
func (c *Controller) HandleRecordFailed(id registry.GroupID) {
	delete(c.groups, id)
}

// HandleRestored processes that the store has come back from an older copy, which has
// these records. It returns the groups whose records must be written again. The records of
// other groups are obsolete.
func (c *Controller) HandleRestored(copied []*Group) []*Group {
	c.obsoleteRecords = nil
	for _, g := range copied {
		if c.groups[g.ID] == nil {
			c.obsoleteRecords = append(c.obsoleteRecords, g.ID)
		}
	}
	return slices.DeleteFunc(c.Groups(), func(g *Group) bool { return g.Phase == Planned || g.unrecorded })
}

// HandleOutcome processes the outcome of an order. It marks the group as
// incomplete if a member other than the leader is carrying out or has carried out
// a leave order.
func (c *Controller) HandleOutcome(o Order, startTime int64, outcome Outcome, now time.Time) {
	key := orderKey{registry.Incarnation{ID: o.Server, StartTime: startTime}, o.Operation, o.Group, o.Model}
	c.sentOrders[key] = sentOrder{at: now, outcome: outcome}
	g := c.groups[o.Group]
	if g != nil && o.Operation == Leave && key.server != g.leader() && (outcome == Begun || outcome == Done) {
		g.markIncomplete(now)
	}
}

// SetBootstrapping sets whether the fleet is still waiting for its first
// request.
func (c *Controller) SetBootstrapping(bootstrapping bool) { c.bootstrapping = bootstrapping }

// IgnoreViewsBefore makes the controller ignore views that may lack changes before
// the time at which it took the recorded groups over. Such a view can be of a time
// before a recorded group was formed, and its leader seem to have left.
func (c *Controller) IgnoreViewsBefore(t time.Time) { c.earliestView = t }

// Step decides what to do next from the registry view, the service's engine
// settings and the probe results.
func (c *Controller) Step(now time.Time, v *registry.View, service string, e *routes.Engine, probe func(id string) ProbeResult) Decision {
	c.now = now
	d := &Decision{}
	if v.Version == 0 || v.AsOf.Before(c.earliestView) {
		c.restartTimers(now)
		return *d
	}
	c.adoptUnrecorded(now, v, service, d)
	for id, g := range c.groups {
		if leader := v.Servers[g.leader().ID]; leader != nil && c.domains[id] == "" {
			c.domains[id] = leader.Domain
		}
	}
	groups := c.Groups()
	for _, g := range groups {
		c.reconcileGroup(g, now, v, e, probe, d)
	}
	c.dropEnded(groups)
	n := min(len(c.obsoleteRecords), MaxRecordChanges)
	d.ObsoleteRecords = slices.Clone(c.obsoleteRecords[:n])
	if !c.registering(now, v, service) {
		c.plan(now, v, service, e, probe, newRecordBudget(n), d)
	}
	return *d
}

// dropEnded removes those of the groups that have ended. Their records can be deleted.
func (c *Controller) dropEnded(groups []*Group) {
	for _, g := range groups {
		if g.Phase == Ended {
			delete(c.groups, g.ID)
			delete(c.domains, g.ID)
			if !g.unrecorded {
				c.obsoleteRecords = append(c.obsoleteRecords, g.ID)
			}
		}
	}
}

// restartTimers restarts the phase timers while no recent server records have been
// read, so that groups do not time out in the meantime.
func (c *Controller) restartTimers(now time.Time) {
	for _, g := range c.groups {
		g.Since = now
	}
}

func (d *Decision) addPhaseChange(g *Group, reason string, now time.Time) {
	d.PhaseChanges = append(d.PhaseChanges, PhaseChange{
		Group: g.ID, Model: g.Model, Phase: g.Phase, Reason: reason, After: now.Sub(g.Since),
	})
}

func (c *Controller) transition(g *Group, p Phase, now time.Time, reason string, d *Decision) {
	after := now.Sub(g.Since)
	g.setPhase(p, now, reason)
	d.PhaseChanges = append(d.PhaseChanges, PhaseChange{Group: g.ID, Model: g.Model, Phase: p, Reason: reason, After: after})
}

// issueOrder adds an order unless the same order, or its outcome, is younger than
// resendAfter. For a join or stage that the server has begun, the limit is
// formingTimeout.
func (c *Controller) issueOrder(now time.Time, m registry.Incarnation, o Order, d *Decision) {
	o.Server = m.ID
	key := orderKey{m, o.Operation, o.Group, o.Model}
	if last, found := c.sentOrders[key]; found {
		wait := resendAfter
		if last.outcome == Begun && (o.Operation == Join || o.Operation == Stage) {
			wait = formingTimeout
		}
		if now.Sub(last.at) < wait {
			return
		}
	}
	c.sentOrders[key] = sentOrder{at: now}
	d.Orders = append(d.Orders, o)
}

const (
	// registrationQuietPeriod is how long no new server may have registered before
	// groups are planned at the first start of the fleet. If only a part of the
	// servers were known, groups and spares would be spread unevenly across
	// domains. Servers register within about one heartbeat interval.
	registrationQuietPeriod = time.Second
	// maxRegistration is how long after the first server registered the groups are
	// planned at the latest.
	maxRegistration = 5 * time.Second
)

// registering reports whether the fleet is starting and its servers are still
// registering.
func (c *Controller) registering(now time.Time, v *registry.View, service string) bool {
	if !c.bootstrapping {
		return false
	}
	for _, srv := range v.Servers {
		if srv.Zone == c.zone && srv.Service == service && !c.seen[srv.Incarnation()] {
			c.seen[srv.Incarnation()] = true
			c.lastSeenAt = now
			if c.firstSeenAt.IsZero() {
				c.firstSeenAt = now
			}
		}
	}
	return now.Sub(c.lastSeenAt) < registrationQuietPeriod && now.Sub(c.firstSeenAt) < maxRegistration
}

func (c *Controller) nextID() registry.GroupID {
	c.groupSeq++
	epoch := c.epochBase + c.groupSeq
	return registry.GroupID{Name: fmt.Sprintf("%s-%d", c.zone, epoch), Epoch: epoch}
}
