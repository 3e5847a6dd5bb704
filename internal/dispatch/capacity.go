package dispatch

import "time"

// Capacity summarises the servers that match a request's requirements. It is
// logged when no reservation can be made.
type Capacity struct {
	// Servers counts the servers that could take the request if they had free
	// slots: open group leaders with the model, or servers of a plain service.
	// Leaving servers and those of excluded zones don't count.
	Servers int
	// Unresponsive counts those of Servers that are stalled or unreachable,
	// Full the responsive ones without a free slot.
	Unresponsive int
	Full         int
	// InFlight counts the requests in flight at Servers, of all entries.
	InFlight int
	// ViewAge is the age of the registry view, ViewVersion the store version
	// that it was read at.
	ViewAge     time.Duration
	ViewVersion int64
}

// Capacity summarises the servers for a request. bootNow is read from the clock
// that the registry view's timestamps come from.
func (b *Balancer) Capacity(now, bootNow time.Time, r Requirements) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := Capacity{ViewVersion: b.view.Version, ViewAge: bootNow.Sub(b.view.AsOf)}
	if b.table == nil {
		return capacity
	}
	service := b.table.Service(r.Service)
	for _, s := range b.view.Servers {
		if service == nil || s.Service != r.Service || s.Leaving || b.excluded[s.Zone] {
			continue
		}
		if service.Engine != nil && !s.LeadsOpenGroup(r.Model) {
			continue
		}
		l := b.load(s)
		capacity.Servers++
		capacity.InFlight += l.totalInFlight()
		if l.unresponsive(now) {
			capacity.Unresponsive++
		} else if _, fits := b.score(now, s, service, Requirements{Service: r.Service, Model: r.Model, remoteShare: maxRemoteShare}); !fits {
			capacity.Full++
		}
	}
	return capacity
}
