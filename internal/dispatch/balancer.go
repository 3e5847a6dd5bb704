package dispatch

import (
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// remoteShare is the part of a group's slots that an entry of another zone
	// takes at most: the zone's own entries come first.
	remoteShare = 0.25
	// strandedShare is the same for an entry whose own zone has no server for
	// the request, as while the zone is out.
	strandedShare = 0.6
	// overlap is how many requests beyond its slots a server may hold, so that
	// a free slot is taken without a round trip.
	overlap = 1
)

// Requirements is what a request needs of a server.
type Requirements struct {
	Service string
	// Model is set for requests of replica groups.
	Model string
	// Tried are servers that are not to be asked again.
	Tried map[string]bool
	// share is the part of another zone's server that may be taken.
	share float64
}

// Reservation is a place at a server, to be given back by Done.
type Reservation struct {
	Server   *registry.Server
	balancer *Balancer
	load     *load
	done     bool
}

// Balancer places requests. It is safe for concurrent use.
type Balancer struct {
	zone string

	mu    sync.Mutex
	view  *registry.View
	table *routes.Table
	// out are the zones that operators took out.
	out map[string]bool
	// self is the entry's own name, entries are all that send to the servers.
	self    string
	entries []Entry
	loads   map[registry.Incarnation]*load
}

// NewBalancer returns a Balancer of an entry in a zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{
		zone: zone, view: &registry.View{},
		loads: make(map[registry.Incarnation]*load),
	}
}

// SetView takes over what is known of the servers.
func (b *Balancer) SetView(v *registry.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	for l, known := range b.loads {
		s := v.Servers[l.ID]
		if (s == nil || s.StartTime != l.StartTime) && known.inFlight == 0 {
			delete(b.loads, l)
		}
	}
}

// SetTable takes over a configuration.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
}

// SetExcludedZones takes over the zones that get no work.
func (b *Balancer) SetExcludedZones(zones map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out = zones
}

// PeerLoad is what the zone's other entries have at a server.
type PeerLoad struct {
	InFlight int
	// Stalled says that none of their streams advances.
	Stalled bool
}

// SetPeerLoads takes over what the zone's other entries have in flight.
func (b *Balancer) SetPeerLoads(counts map[registry.Incarnation]PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for l := range counts {
		if b.loads[l] == nil {
			b.loads[l] = &load{}
		}
	}
	for l, known := range b.loads {
		known.elsewhere, known.stalledElsewhere = counts[l].InFlight, counts[l].Stalled
	}
}

// InFlight returns the entry's own requests by server.
func (b *Balancer) InFlight() map[registry.Incarnation]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[registry.Incarnation]int)
	for l, known := range b.loads {
		if known.inFlight > 0 {
			counts[l] = known.inFlight
		}
	}
	return counts
}

// Stalled returns the servers whose streams have stopped.
func (b *Balancer) Stalled(now time.Time) []registry.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []registry.Incarnation
	for l, known := range b.loads {
		if known.stalled(now) || known.trips > 0 {
			stalled = append(stalled, l)
		}
	}
	return stalled
}

// Reserve returns a place at the server that suits best, or nil if none has room.
func (b *Balancer) Reserve(now time.Time, d Requirements) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return nil
	}
	service := b.table.Service(d.Service)
	if service == nil {
		return nil
	}
	var best *registry.Server
	bestScore := 0.0
	d.share = remoteShare
	if !b.servesAtHome(service, d) {
		d.share = strandedShare
	}
	for _, s := range b.view.Servers {
		if s.Service != d.Service {
			continue
		}
		score, fits := b.score(now, s, service, d)
		if fits && (best == nil || score < bestScore || (score == bestScore && s.ID < best.ID)) {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	l := b.load(best)
	l.tookCold(now)
	if l.inFlight == 0 {
		l.progress = now
	}
	l.inFlight++
	return &Reservation{Server: best, balancer: b, load: l}
}

// servesAtHome reports whether the own zone has a server for the demand,
// whether or not it has room.
func (b *Balancer) servesAtHome(service *routes.Service, d Requirements) bool {
	if b.out[b.zone] {
		return false
	}
	for _, s := range b.view.Servers {
		if s.Zone == b.zone && s.Service == d.Service && !s.Leaving && (service.Engine == nil || s.LeadsOpenGroup(d.Model)) {
			return true
		}
	}
	return false
}

func (b *Balancer) load(s *registry.Server) *load {
	l := b.loads[s.Incarnation()]
	if l == nil {
		l = &load{}
		b.loads[s.Incarnation()] = l
	}
	return l
}

// score ranks a server that can take the request; a lower one is better.
func (b *Balancer) score(now time.Time, s *registry.Server, service *routes.Service, d Requirements) (float64, bool) {
	if s.Leaving || b.out[s.Zone] || d.Tried[s.ID] {
		return 0, false
	}
	slots := s.Slots
	if service.Engine != nil {
		if !s.LeadsOpenGroup(d.Model) {
			return 0, false
		}
		slots = service.Engine.Slots
	}
	l := b.load(s)
	if l.suspect(now) || !b.coldAllows(now, s, l, service.ColdRate) {
		return 0, false
	}
	slots = max(slots, 1)
	score := float64(l.total()) / float64(slots)
	local := s.Zone == b.zone
	switch {
	case !local && float64(l.inFlight) >= d.share*float64(slots):
		return 0, false
	case l.total() >= slots+overlap:
		return 0, false
	case !local:
		score += 1
	}
	score += 2 * l.failures
	if now.Before(l.avoidUntil) {
		score += 2
	}
	return score, true
}

// Result is how a request at a server ended.
type Result int

const (
	// Served requests were answered.
	Served Result = iota
	// Left requests were given up by their caller.
	Cancelled
	// Failed requests broke off or got no answer.
	Failed
	// Rejected requests were refused by the server.
	Rejected
	// Silent requests got nothing from a server that stands still or can't be
	// reached.
	Unresponsive
)

// Release gives the place back.
func (t *Reservation) Release(now time.Time, r Result) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.load.inFlight--
	switch r {
	case Served:
		t.load.failures *= 1 - failureWeight
		t.load.advance(now)
	case Failed, Rejected:
		t.load.failures += failureWeight * (1 - t.load.failures)
		t.load.avoidUntil = now.Add(avoidFor)
	case Unresponsive:
		t.load.trip(now)
	case Cancelled:
	}
}

// RecordProgress notes that the server's work advances.
func (t *Reservation) RecordProgress(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.load.advance(now)
}

// Stalled reports whether no stream of the server advances.
func (t *Reservation) Stalled(now time.Time) bool {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	return t.load.stalled(now)
}
