package dispatch

import "time"

// Capacity is what a demand finds when it looks for a place, for the log.
type Capacity struct {
	// Servers could take the request if they had room: open leaders of the
	// model, or servers of a plain service, that are neither leaving nor in a
	// zone that is out.
	Servers int
	// Silent are those that stand still or could not be reached, Full those
	// without a free place.
	Unresponsive int
	Full         int
	// InFlight are the requests that they hold, of all entries.
	InFlight int
	// ViewAge is how old the servers' entries are, and ViewVersion the store's
	// version that they come from.
	ViewAge     time.Duration
	ViewVersion int64
}

// Capacity returns what a demand finds now. bootNow is the clock of the view.
func (b *Balancer) Capacity(now, bootNow time.Time, d Requirements) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := Capacity{ViewVersion: b.view.Version, ViewAge: bootNow.Sub(b.view.AsOf)}
	if b.table == nil {
		return room
	}
	service := b.table.Service(d.Service)
	for _, s := range b.view.Servers {
		if service == nil || s.Service != d.Service || s.Leaving || b.out[s.Zone] {
			continue
		}
		if service.Engine != nil && !s.LeadsOpenGroup(d.Model) {
			continue
		}
		l := b.load(s)
		room.Servers++
		room.InFlight += l.total()
		if l.suspect(now) {
			room.Unresponsive++
		} else if _, fits := b.score(now, s, service, Requirements{Service: d.Service, Model: d.Model, share: remoteShare}); !fits {
			room.Full++
		}
	}
	return room
}
