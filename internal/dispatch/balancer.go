package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// maxRemoteShare is the share of a server's slots that one entry of another
	// zone may use; the rest is left to the entries of the server's own zone. At
	// least one request is allowed.
	maxRemoteShare = 0.25
	// maxRemoteShareNoLocal replaces maxRemoteShare for an entry whose own zone
	// has no server for the request, for example because the zone is excluded.
	maxRemoteShareNoLocal = 0.6
	// maxQueuedPerServer is how many requests a server may hold beyond its
	// slots. They fill a slot that becomes free without a round trip.
	maxQueuedPerServer = 1
	// overdueReserve is the share of a replica group's slots that overdue requests
	// leave free, at least one slot. Requests that arrive at other entries while
	// capacity is short then still meet their objectives.
	overdueReserve = 0.1
)

// Requirements describes the servers that can take a request.
type Requirements struct {
	Service string
	// Model is set for requests of replica groups.
	Model string
	// Tried holds, by ID, the servers that had the request. They must not get it again
	// before the given time, or never again if it is zero.
	Tried map[string]time.Time
	// Overdue is set if the request can't meet its objective any more.
	Overdue bool
	// remoteShare is the share of a remote server's slots that this entry may
	// use. Reserve sets it.
	remoteShare float64
}

// hasTried reports whether the server must not get the request again now.
func (r Requirements) hasTried(now time.Time, id string) bool {
	until, found := r.Tried[id]
	return found && (until.IsZero() || now.Before(until))
}

// Reservation holds capacity for one request at a server until Release.
type Reservation struct {
	Server   *registry.Server
	balancer *Balancer
	load     *load
	// begun is set once the request has made progress.
	begun    bool
	released bool
}

// Balancer assigns requests to servers. It is safe for concurrent use.
type Balancer struct {
	zone string

	mu    sync.Mutex
	view  *registry.View
	table *routes.Table
	// excluded are the zones that operators took out of service.
	excluded map[string]bool
	// self is this entry's name. entries are all entries that send to the same
	// servers, including this one; none if they are not known yet.
	self    string
	entries []Entry
	loads   map[registry.Incarnation]*load
	// grants holds what this entry may send to servers that name a request limit.
	grants *quota.Holder
	// drain is the drain time (WithDrainTime). unrecorded lists the leaders of open
	// groups that the view has no record of any more.
	drain      time.Duration
	unrecorded []*registry.Server
	// reportDelay is how old the loads of the other entries are on average, and random
	// returns a uniform number in [0, 1).
	reportDelay time.Duration
	random      func() float64
	// zoneFailedUntil holds until when other zones are used less, by zone.
	zoneFailedUntil map[string]time.Time
	// paces limit the starts by model, and shares are this entry's parts of the zone's
	// requests.
	paces  map[string]*pace
	shares map[string]float64
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithGrants makes the Balancer send to servers that name a request limit only what the
// holder allows.
func WithGrants(h *quota.Holder) Option {
	return func(b *Balancer) { b.grants = h }
}

// NewBalancer returns a Balancer for an entry in the zone.
func NewBalancer(zone string, opts ...Option) *Balancer {
	b := &Balancer{
		zone: zone, view: &registry.View{}, random: rand.Float64,
		loads: make(map[registry.Incarnation]*load), paces: make(map[string]*pace),
		zoneFailedUntil: make(map[string]time.Time),
		grants:          quota.NewHolder(quota.NewBook(), func() int { return 1 }),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetView replaces the registry view. It removes the load of servers that are
// gone or have restarted, once none of their requests is in flight.
func (b *Balancer) SetView(v *registry.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	if b.drain > 0 {
		b.unrecorded = listUnrecorded(v)
	}
	for inc, load := range b.loads {
		s := v.Servers[inc.ID]
		if (s == nil || s.StartTime != inc.StartTime) && load.inFlight == 0 && (b.drain <= 0 || !b.holdsRecordOf(inc)) {
			delete(b.loads, inc)
		}
	}
}

// SetTable replaces the configuration.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
}

// SetExcludedZones replaces the set of zones whose servers get no requests. The
// caller must not change the map afterwards.
func (b *Balancer) SetExcludedZones(zones map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excluded = zones
}

// PeerLoad is the load that the other entries, of this and other zones, put on a
// server.
type PeerLoad struct {
	InFlight int
	// Stalled is set if one of these entries lists the server in its
	// Balancer.Stalled. InFlight may then be 0.
	Stalled bool
	// AliveAt is when an entry last reported that streams from the server advance, or
	// that it answers probes. It is zero if none did.
	AliveAt time.Time
}

// SetPeerLoads replaces the load that the other entries reported. Servers that
// are not in counts have no load from them.
func (b *Balancer) SetPeerLoads(counts map[registry.Incarnation]PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for inc := range counts {
		if b.loads[inc] == nil {
			b.loads[inc] = &load{}
		}
	}
	for inc, load := range b.loads {
		load.peerInFlight, load.peerStalled = counts[inc].InFlight, counts[inc].Stalled
		if at := counts[inc].AliveAt; at.After(load.peerAliveAt) {
			load.peerAliveAt = at
		}
	}
}

// InFlight returns how many requests of this entry are in flight, by server.
func (b *Balancer) InFlight() map[registry.Incarnation]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[registry.Incarnation]int)
	for inc, load := range b.loads {
		if load.inFlight > 0 {
			counts[inc] = load.inFlight
		}
	}
	return counts
}

// Stalled returns the servers that other entries should avoid: those whose streams of
// this entry make no progress, and those whose circuit breaker has tripped lately.
func (b *Balancer) Stalled(now time.Time) []registry.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []registry.Incarnation
	for inc, load := range b.loads {
		if load.reportStalled(now) {
			stalled = append(stalled, inc)
		}
	}
	return stalled
}

// Reserve reserves capacity at the best server for the request. It returns nil
// if no server can take the request now, if the service is not configured, or
// before the first SetTable.
func (b *Balancer) Reserve(now time.Time, r Requirements) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return nil
	}
	service := b.table.Service(r.Service)
	if service == nil {
		return nil
	}
	r.remoteShare = maxRemoteShare
	if !b.hasLocalServer(now, service, r) {
		r.remoteShare = maxRemoteShareNoLocal
	}
	// Further attempts are limited by the retry budget instead.
	paced := len(r.Tried) == 0 && !b.paceAllows(now, service, r.Model)
	var fitting []candidate
	for s := range b.candidates(now) {
		if s.Service != r.Service {
			continue
		}
		score, fits := b.score(now, s, service, r)
		if paced && (s.Zone == b.zone || float64(b.load(s).totalInFlight()) > pacedRemoteUse*float64(slotsOf(s, service))) {
			continue
		}
		if fits && b.grants.Allows(now, s.Incarnation()) {
			fitting = append(fitting, candidate{server: s, load: score * float64(slotsOf(s, service))})
		}
	}
	unseen, most := b.unseen(fitting, service, r.Model)
	best := choose(fitting, unseen, most, b.random())
	if best == nil {
		return nil
	}
	if best.Zone == b.zone {
		b.takePace(r.Model)
	}
	l := b.load(best)
	l.takeColdToken(now)
	b.grants.Take(now, best.Incarnation())
	if l.inFlight == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	if service.Engine != nil {
		l.slots = slotsOf(best, service)
		l.turn = service.Engine.RequestTime(r.Model) / time.Duration(l.slots)
	}
	return &Reservation{Server: best, balancer: b, load: l}
}

// hasLocalServer reports whether this entry's zone has a server for the
// request. Servers that are full, unresponsive or already tried count too, but not
// those whose request limit is used up or that have asked for time.
func (b *Balancer) hasLocalServer(now time.Time, service *routes.Service, r Requirements) bool {
	if b.excluded[b.zone] {
		return false
	}
	for s := range b.candidates(now) {
		if s.Zone == b.zone && s.Service == r.Service && !s.Leaving && (service.Engine == nil || s.LeadsOpenGroup(r.Model)) &&
			!now.Before(b.grants.WaitUntil(now, s.Incarnation())) && b.grants.Allows(now, s.Incarnation()) {
			return true
		}
	}
	return false
}

// load returns the load of the server's current incarnation, and adds an empty
// one if there is none.
func (b *Balancer) load(s *registry.Server) *load {
	l := b.loads[s.Incarnation()]
	if l == nil {
		l = &load{}
		b.loads[s.Incarnation()] = l
	}
	return l
}

// score ranks the server for the request; the lowest score wins. Servers of
// other zones and servers that failed requests rank lower. It reports false if
// the server can't take the request now, request limits aside.
func (b *Balancer) score(now time.Time, s *registry.Server, service *routes.Service, r Requirements) (float64, bool) {
	if s.Leaving || b.excluded[s.Zone] || r.hasTried(now, s.ID) {
		return 0, false
	}
	if service.Engine != nil && !s.LeadsOpenGroup(r.Model) {
		return 0, false
	}
	l := b.load(s)
	if l.unresponsive(now) || b.waits(now, s, l) || !b.coldRateAllows(now, s, l, service.ColdRate) {
		return 0, false
	}
	slots := slotsOf(s, service)
	score := float64(l.totalInFlight()) / float64(slots)
	local := s.Zone == b.zone
	switch {
	case !local && float64(l.inFlight) >= r.remoteShare*float64(slots):
		return 0, false
	case l.totalInFlight() >= slots+maxQueuedPerServer:
		return 0, false
	case r.Overdue && service.Engine != nil && l.totalInFlight() >= slots-overdueSlots(slots):
		return 0, false
	case !local:
		score += b.remoteMarginOf(now, s.Zone, service)
	}
	score += 2 * l.failureRate
	if now.Before(l.avoidUntil) {
		score += 2
	}
	return score, true
}

// slotsOf returns how many requests the server runs at the same time, and at least 1.
func slotsOf(s *registry.Server, service *routes.Service) int {
	if service.Engine != nil {
		return max(service.Engine.Slots, 1)
	}
	return max(s.Slots, 1)
}

// overdueSlots returns how many of a group's slots overdue requests leave free. A
// group with a single slot has none to spare.
func overdueSlots(slots int) int {
	if slots < 2 {
		return 0
	}
	return max(int(overdueReserve*float64(slots)), 1)
}

// Result is the outcome of a request at a server.
type Result int

const (
	// Served requests got a complete response that is not a server error.
	Served Result = iota
	// Cancelled requests were cancelled by their caller or not sent. They don't
	// change the server's health.
	Cancelled
	// Failed requests were cut off, got no response, or got an error or an
	// unusable response.
	Failed
	// Rejected requests were turned down by the server without running.
	Rejected
	// Unresponsive requests could not be sent, got no event in time, or were cut
	// off because the server is stalled. They trip the circuit breaker.
	Unresponsive
)

// Release releases the reservation and records the outcome. Only the first call
// has an effect.
func (r *Reservation) Release(now time.Time, result Result) {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.load.inFlight--
	if r.begun {
		r.load.begun--
	}
	b.observeZone(now, r.Server.Zone, result)
	switch result {
	case Served:
		r.load.failureRate *= 1 - failureWeight
		r.load.recordProgress(now)
	case Failed, Rejected:
		r.load.failureRate += failureWeight * (1 - r.load.failureRate)
		r.load.avoidUntil = now.Add(avoidDuration)
	case Unresponsive:
		r.load.trip(now)
	case Cancelled:
	}
}

// RecordProgress records that the server made progress, and closes its circuit
// breaker.
func (r *Reservation) RecordProgress(now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if !r.begun && !r.released {
		r.begun = true
		r.load.begun++
	}
	r.load.recordProgress(now)
}

// Stalled reports whether this entry has seen no progress on any of its streams
// of the server for longer than stallTimeout.
func (r *Reservation) Stalled(now time.Time) bool {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	return r.load.stalled(now)
}
