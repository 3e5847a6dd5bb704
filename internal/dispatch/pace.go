package dispatch

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// burstShare is how many times its share of the free slots an entry may start at once,
	// beside one request, while its starts are paced. Arrivals at one entry are uneven.
	burstShare = 2
	// minPace is the least part of the slots which become free that is given out, also
	// while the groups hold more requests than slots. Loads that are reported too high
	// must not stop the starts.
	minPace = 0.05
	// pacedRemoteUse is the part of its slots up to which a replica group of another zone
	// may be in use to get a request that the own zone's pace does not allow.
	pacedRemoteUse = 0.75
)

// pace is a token bucket for the starts of one model's requests at the own zone's
// replica groups.
type pace struct {
	tokens float64
	at     time.Time
	// rate is the limit in requests per second, or 0 while there is none.
	rate float64
}

// SetShares sets this entry's part of the zone's requests, by model. Models that are
// missing have the same part as all others of the zone's entries.
func (b *Balancer) SetShares(shares map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares = shares
}

// Pace returns the starts per second to which requests for the model are limited, or 0 if
// they are not limited.
func (b *Balancer) Pace(model string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.paces[model]; p != nil {
		return p.rate
	}
	return 0
}

// zoneLoad sums the load of the own zone's replica groups that can take requests.
type zoneLoad struct {
	slots, inFlight, peerInFlight int
	// running is how many requests hold a slot.
	running int
}

func (b *Balancer) zoneLoad(now time.Time, service *routes.Service, model string) zoneLoad {
	var z zoneLoad
	for s := range b.candidates(now) {
		if s.Service != service.Name || s.Zone != b.zone || s.Leaving || !s.LeadsOpenGroup(model) {
			continue
		}
		l := b.load(s)
		if l.unresponsive(now) {
			continue
		}
		slots := slotsOf(s, service)
		z.slots += slots
		z.inFlight += l.totalInFlight()
		z.peerInFlight += l.peerInFlight
		z.running += min(l.totalInFlight(), slots)
	}
	return z
}

// paceAllows reports whether a request for the model may start at the own zone's groups.
// While they have fewer free slots than other entries may have taken unseen, entries that
// each filled every slot that looks free would overfill the groups. Each entry then starts
// its share of the requests for which slots become free, corrected by how far the slots in
// use are from all.
func (b *Balancer) paceAllows(now time.Time, service *routes.Service, model string) bool {
	if service.Engine == nil || b.reportDelay <= 0 {
		return true
	}
	took := service.Engine.RequestTime(model).Seconds()
	if took <= 0 {
		return true
	}
	z := b.zoneLoad(now, service, model)
	if z.slots == 0 {
		// Callers state the model, so that a pace for each name would keep any number of them.
		delete(b.paces, model)
		return true
	}
	p := b.paces[model]
	if p == nil {
		p = &pace{tokens: 1, at: now}
		b.paces[model] = p
	}
	window := correctionSpan * b.reportDelay.Seconds()
	share := b.share(model)
	free, freed := float64(z.slots-z.inFlight), float64(z.running)/took
	burst := 1 + burstShare*max(free, 0)*share
	if free >= float64(z.peerInFlight)*min(window/took, 1) {
		*p = pace{tokens: burst, at: now}
		return true
	}
	p.rate = max(freed+free/window, minPace*freed) * share
	p.tokens = min(p.tokens+p.rate*now.Sub(p.at).Seconds(), burst)
	p.at = now
	return p.tokens >= 1
}

// share returns this entry's part of the zone's requests for the model.
func (b *Balancer) share(model string) float64 {
	entries := 0
	for _, e := range b.entries {
		if e.Zone == b.zone {
			entries++
		}
	}
	equal := 1 / float64(max(entries, 1))
	if share, found := b.shares[model]; found {
		return min(max(share, equal/4), 1)
	}
	return equal
}

// takePace takes the token of a request that starts.
func (b *Balancer) takePace(model string) {
	if p := b.paces[model]; p != nil {
		p.tokens--
	}
}
