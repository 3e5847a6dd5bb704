package dispatch

import "time"

// spareUtilisation is the share of a group's slots below which it counts as having spare
// capacity. With 0.75, entries that know each other's loads late fill it up with
// requests that are late, and make others late.
const spareUtilisation = 0.5

// HasSpare reports whether a replica group that can take the request now uses so few of
// its slots that requests which lost their objective delay no others there.
func (b *Balancer) HasSpare(now time.Time, r Requirements) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return false
	}
	service := b.table.Service(r.Service)
	if service == nil || service.Engine == nil {
		return false
	}
	r.remoteShare = maxRemoteShare
	for _, s := range b.view.Servers {
		if s.Service != r.Service || float64(b.load(s).totalInFlight()) >= spareUtilisation*float64(service.Engine.Slots) {
			continue
		}
		if _, fits := b.score(now, s, service, r); fits && b.grants.Allows(now, s.Incarnation()) {
			return true
		}
	}
	return false
}
