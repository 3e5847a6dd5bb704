package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// crossZoneDelay is by how much the loads that another zone's entries report are
	// older than those of the own zone.
	crossZoneDelay = 300 * time.Millisecond
	// correctionSpan is over how many report delays a difference of the loads is evened
	// out. A correction does not show in the reports for one delay, and goes on meanwhile;
	// at less than e (2.7) delays the loads swing.
	correctionSpan = 3
	// remoteMargin is by which part of its slots a replica group of another zone must be
	// less in use than one of the own zone to be preferred. The streams of a group that
	// is fuller by that much wait longer for a slot than the way between zones takes.
	remoteMargin = 0.25
	// zoneFailureDuration is for how long another zone is used less after one of its
	// servers could not be reached or was stalled.
	zoneFailureDuration = 3 * time.Second
	// maxPrefillShare is the largest part of its time for which a replica group is given
	// prompts to prefill. At a higher one, a group that has just opened would prefill for
	// so long that its first events miss their objective.
	maxPrefillShare = 0.5
)

// candidate is a server that can take a request now. Its load is in requests: the score
// times its slots.
type candidate struct {
	server *registry.Server
	load   float64
	// weight is the server's part of the requests that are distributed.
	weight float64
}

// choose draws a server such that all entries together even out the loads, if each of
// them sees the same loads and draws in the same way. unseen is how many requests the
// other entries are expected to begin at these servers in the time in which the loads are
// to become even, and most how many of them one server may get. Without any, it is the server
// with the least load, the first one by ID of several.
//
// If every entry chose the least load of reports that are 0.2 s old, they would all send
// to the same server for as long.
func choose(candidates []candidate, unseen, most, random float64) *registry.Server {
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.load, y.load), cmp.Compare(x.server.ID, y.server.ID))
	})
	if unseen <= 0 {
		return candidates[0].server
	}
	distribute(candidates, unseen+1, max(most, 1))
	total := 0.0
	for _, c := range candidates {
		total += c.weight
	}
	random *= total
	for _, c := range candidates {
		if random -= c.weight; random < 0 {
			return c.server
		}
	}
	return candidates[0].server
}

// distribute sets the weights such that the loads become as equal as possible if each
// candidate gets its weight in requests, and at most the given number. The candidates are
// in the order of their load.
func distribute(candidates []candidate, requests, most float64) {
	// The least loaded candidates reach the limit first.
	for first := range candidates {
		rest := candidates[first:]
		n, level := fillLevel(rest, requests)
		for i := range rest {
			rest[i].weight = 0
			if i < n {
				rest[i].weight = level - rest[i].load
			}
		}
		if rest[0].weight <= most {
			return
		}
		rest[0].weight = most
		requests = max(requests-most, 0)
	}
}

// fillLevel returns the load that the n least loaded candidates reach if the requests
// are distributed so that their loads become equal, and n.
func fillLevel(candidates []candidate, requests float64) (n int, level float64) {
	sum := 0.0
	for n < len(candidates) && (n == 0 || candidates[n].load*float64(n)-sum < requests) {
		sum += candidates[n].load
		n++
	}
	return n, (sum + requests) / float64(n)
}

// unseen returns how many requests the other entries are expected to begin at the
// candidates in correctionSpan report delays, by the requests in flight and the time that
// one takes, and how many of them one candidate should get.
func (b *Balancer) unseen(candidates []candidate, service *routes.Service, model string) (n, most float64) {
	if service.Engine == nil || b.reportDelay <= 0 {
		return 0, 0
	}
	took := service.Engine.RequestTime(model)
	if took <= 0 {
		return 0, 0
	}
	for _, c := range candidates {
		delay := b.reportDelay
		if c.server.Zone != b.zone {
			delay += crossZoneDelay
		}
		n += float64(b.load(c.server).peerInFlight) * min(correctionSpan*float64(delay)/float64(took), 1)
	}
	prefill := service.Engine.PrefillTime(model)
	if prefill <= 0 {
		return n, math.Inf(1)
	}
	return n, maxPrefillShare * correctionSpan * float64(b.reportDelay) / float64(prefill)
}

// remoteMarginOf returns by which part of its slots a server of another zone must be less
// in use to be preferred. A zone that may be cut off is used only when the own one is full.
// Entries that exchange loads directly do so with all zones: they know the own zone's loads
// much better than those of others, and each brings a large part of the zone's requests.
func (b *Balancer) remoteMarginOf(now time.Time, zone string, service *routes.Service) float64 {
	if service.Engine == nil || b.reportDelay <= 0 || now.Before(b.zoneFailedUntil[zone]) {
		return 1
	}
	return remoteMargin
}

// observeZone records the outcome of a request at a server of another zone. If the zone
// is cut off, each of its servers would otherwise cost the time of a failed attempt.
func (b *Balancer) observeZone(now time.Time, zone string, result Result) {
	if result == Unresponsive && zone != b.zone {
		b.zoneFailedUntil[zone] = now.Add(zoneFailureDuration)
	}
}

// SetReportDelay sets how old the loads of the other entries are on average when a
// server is chosen by them. It is 0 if the zone's entries exchange them directly.
func (b *Balancer) SetReportDelay(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportDelay = delay
}

// WithRandom sets the source of uniform numbers in [0, 1) that servers are drawn with.
func WithRandom(random func() float64) Option {
	return func(b *Balancer) { b.random = random }
}
