package dispatch

import (
	"iter"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// sendFraction is the share of the drain time within which requests may still begin at
// a server without a record. The rest is for the time until they reach the server.
const sendFraction = 0.6

// WithDrainTime lets the Balancer choose leaders whose record went a part of the drain
// time ago or less, if they have shown a sign of life since then. A request must reach
// no server later than the drain time after this process learnt that the server's record
// is gone. With 0, only servers with a record get requests.
func WithDrainTime(drain time.Duration) Option {
	return func(b *Balancer) { b.drain = drain }
}

// candidates yields the servers that may get requests as far as their records are
// concerned: those in the view, and the leaders without a record that still may. The
// caller holds b.mu.
func (b *Balancer) candidates(now time.Time) iter.Seq[*registry.Server] {
	return func(yield func(*registry.Server) bool) {
		for id, s := range b.view.Servers {
			if (b.drain <= 0 || b.maySend(now, id)) && !yield(s) {
				return
			}
		}
		for _, s := range b.unrecorded {
			if b.usable(now, s) && !yield(s) {
				return
			}
		}
	}
}

// maySend reports whether requests may still begin at a server as far as the time since
// its record went is concerned.
func (b *Balancer) maySend(now time.Time, id string) bool {
	goneAt, gone := b.view.GoneSince[id]
	return !gone || now.Sub(goneAt) < time.Duration(sendFraction*float64(b.drain))
}

// usable reports whether a leader without a record may get requests.
func (b *Balancer) usable(now time.Time, s *registry.Server) bool {
	return b.maySend(now, s.ID) && b.aliveSince(s.Incarnation(), b.view.GoneSince[s.ID])
}

// aliveSince reports whether the incarnation has shown a sign of life since a time.
func (b *Balancer) aliveSince(inc registry.Incarnation, t time.Time) bool {
	l := b.loads[inc]
	return l != nil && (l.provenAt.After(t) || l.aliveAt.After(t) || l.peerAliveAt.After(t))
}

// listUnrecorded lists the leaders of open groups that the view has no record of any
// more. Servers that said that they leave are not listed, nor those at whose address
// another server is registered since.
func listUnrecorded(v *registry.View) []*registry.Server {
	var list []*registry.Server
	for id, s := range v.Removed {
		if _, gone := v.GoneSince[id]; gone && !s.Leaving && s.Member != nil && s.LeadsOpenGroup(s.Member.Model) && len(v.Successors(s.Incarnation())) == 0 {
			list = append(list, s)
		}
	}
	return list
}

// ObserveAlive records that an incarnation answered a probe of this entry.
func (b *Balancer) ObserveAlive(now time.Time, inc registry.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drain <= 0 || !b.holdsRecordOf(inc) {
		return
	}
	if b.loads[inc] == nil {
		b.loads[inc] = &load{}
	}
	b.loads[inc].aliveAt = now
}

// holdsRecordOf reports whether the view has the last record of the incarnation,
// whether or not the store still has it.
func (b *Balancer) holdsRecordOf(inc registry.Incarnation) bool {
	s := b.view.Servers[inc.ID]
	if s == nil {
		s = b.view.Removed[inc.ID]
	}
	return s != nil && s.StartTime == inc.StartTime
}

// UsesUnrecorded reports whether requests may begin at an incarnation without a record.
func (b *Balancer) UsesUnrecorded(now time.Time, inc registry.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.unrecorded {
		if s.Incarnation() == inc {
			return b.usable(now, s)
		}
	}
	return false
}

// Alive returns the leaders without a record of which this entry itself has seen a sign
// of life since then. The other entries are told of them.
func (b *Balancer) Alive(now time.Time) []registry.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []registry.Incarnation
	for _, s := range b.unrecorded {
		goneAt, l := b.view.GoneSince[s.ID], b.loads[s.Incarnation()]
		if l != nil && b.maySend(now, s.ID) && (l.provenAt.After(goneAt) || l.aliveAt.After(goneAt)) {
			list = append(list, s.Incarnation())
		}
	}
	return list
}

// Streams returns the IDs of the servers from which streams of this entry advanced
// within stallTimeout, and of those that it reports as stalled.
func (b *Balancer) Streams(now time.Time) (advancing, stalled map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	advancing, stalled = make(map[string]bool), make(map[string]bool)
	for inc, l := range b.loads {
		switch {
		case l.reportStalled(now):
			stalled[inc.ID] = true
		case !l.provenAt.IsZero() && now.Sub(l.provenAt) <= stallTimeout:
			advancing[inc.ID] = true
		}
	}
	return advancing, stalled
}
