package dispatch

import "time"

// Capacity summarises the servers that match a request's requirements. It is
// logged when no reservation can be made.
type Capacity struct {
	// Servers counts the servers that could take the request if they had free
	// slots: open group leaders with the model, or servers of a plain service.
	// Leaving servers and those of excluded zones don't count.
	Servers int
	// Unresponsive counts those of Servers that are stalled or whose circuit
	// breaker has tripped. Full counts the others that take no more requests of
	// this entry now: their slots and maxQueuedPerServer are used up, they are
	// remote and maxRemoteShare is used up, or a rate limit is reached.
	Unresponsive int
	Full         int
	// Limited counts those of Servers that name a request limit.
	Limited int
	// InFlight counts the requests in flight at Servers: those of this entry, and
	// those that other entries last reported.
	InFlight int
	// ViewAge is the age of the registry view, ViewVersion the store version
	// that it was read at.
	ViewAge     time.Duration
	ViewVersion int64
}

// Capacity summarises the servers for a request; servers that were already tried
// count too. bootNow is read from the clock that the registry view's timestamps
// come from. Before the first SetTable only the view's age and version are set.
func (b *Balancer) Capacity(now, bootNow time.Time, r Requirements) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := Capacity{ViewVersion: b.view.Version, ViewAge: bootNow.Sub(b.view.AsOf)}
	if b.table == nil {
		return capacity
	}
	service := b.table.Service(r.Service)
	for s := range b.candidates(now) {
		if service == nil || s.Service != r.Service || s.Leaving || b.excluded[s.Zone] {
			continue
		}
		if service.Engine != nil && !s.LeadsOpenGroup(r.Model) {
			continue
		}
		l := b.load(s)
		capacity.Servers++
		capacity.InFlight += l.totalInFlight()
		if b.grants.Limited(s.Incarnation()) {
			capacity.Limited++
		}
		if l.unresponsive(now) {
			capacity.Unresponsive++
		} else if _, fits := b.score(now, s, service, Requirements{Service: r.Service, Model: r.Model, remoteShare: maxRemoteShare}); !fits || !b.grants.Allows(now, s.Incarnation()) {
			capacity.Full++
		}
	}
	return capacity
}
