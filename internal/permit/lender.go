package permit

import "time"

// settleTime is how long after the end of a grant its cancelled requests may
// still be under way.
const settleTime = 500 * time.Millisecond

// Terms are the conditions under which a group's credits are lent.
type Terms struct {
	// Limit is how many requests the group bears at once.
	Limit int
	// Load is how many requests the group itself reports; it lags behind.
	Load int
	// Remaining is how long the evidence behind the grant still holds.
	Remaining time.Duration
	// Cold marks grants whose requests must end with them.
	Cold bool
}

// outstanding is a grant that its entry may still act on.
type outstanding struct {
	seq     uint64
	credits int
	until   time.Time
}

// loan is what a Lender knows of one entry.
type loan struct {
	grants   []outstanding
	seq      uint64
	want     int
	inFlight int
	until    time.Time
}

// Lender lends one group's credits to entries. The sum lent, plus what the
// group reports beyond it, never passes the limit. It is not safe for
// concurrent use.
type Lender struct {
	loans map[string]*loan
	// notBefore holds cold credits back until those of an earlier lender have
	// ended.
	notBefore time.Time
}

// NewLender returns a Lender that lends cold credits only from notBefore on.
func NewLender(notBefore time.Time) *Lender {
	return &Lender{loans: make(map[string]*loan), notBefore: notBefore}
}

// Ask answers a demand, received at now.
func (l *Lender) Ask(now time.Time, d Demand, terms Terms) Grant {
	l.expire(now)
	asking := l.loans[d.Entry]
	if asking == nil {
		asking = &loan{}
		l.loans[d.Entry] = asking
	}
	asking.acknowledge(d.Applied)
	asking.want = d.Want
	asking.inFlight = d.InFlight
	asking.until = now.Add(terms.Remaining + settleTime)
	credits := l.credits(d.Entry, terms)
	if terms.Cold && now.Before(l.notBefore) {
		credits = 0
	}
	asking.seq = max(asking.seq, d.Applied) + 1
	asking.grants = append(asking.grants, outstanding{
		seq: asking.seq, credits: credits, until: asking.until,
	})
	return Grant{
		Group:     d.Group,
		Seq:       asking.seq,
		Credits:   credits,
		Remaining: terms.Remaining,
		Cold:      terms.Cold,
	}
}

// acknowledge drops the grants that the entry has replaced.
func (n *loan) acknowledge(applied uint64) {
	kept := n.grants[:0]
	for _, g := range n.grants {
		if g.seq >= applied {
			kept = append(kept, g)
		}
	}
	n.grants = kept
}

// lent returns how many requests the entry may have in progress.
func (n *loan) lent() int {
	lent := n.inFlight
	for _, g := range n.grants {
		lent = max(lent, g.credits)
	}
	return lent
}

// expire forgets grants and entries whose time is over.
func (l *Lender) expire(now time.Time) {
	for entry, n := range l.loans {
		kept := n.grants[:0]
		for _, g := range n.grants {
			if now.Before(g.until) {
				kept = append(kept, g)
			}
		}
		n.grants = kept
		if !now.Before(n.until) {
			delete(l.loans, entry)
		}
	}
}

// credits returns how many credits the entry gets: its fair share by demand,
// as far as the others' loans and the group's own report leave room.
func (l *Lender) credits(entry string, terms Terms) int {
	lentElsewhere, known := 0, 0
	for name, n := range l.loans {
		known += n.inFlight
		if name != entry {
			lentElsewhere += n.lent()
		}
	}
	unknown := max(0, terms.Load-known)
	room := terms.Limit - lentElsewhere - unknown
	return max(0, min(room, l.fairShare(entry, terms.Limit)))
}

// fairShare divides the limit by demand: those who want less than an equal
// share leave the rest to the others (max-min fairness).
func (l *Lender) fairShare(entry string, limit int) int {
	left, entries := limit, len(l.loans)
	settled := make(map[string]bool, entries)
	for entries > 0 {
		share := left / entries
		progress := false
		for name, n := range l.loans {
			if settled[name] || n.want > share {
				continue
			}
			if name == entry {
				return n.want
			}
			settled[name] = true
			left -= n.want
			entries--
			progress = true
		}
		if !progress {
			return l.remainder(entry, left, entries, settled)
		}
	}
	return left
}

// remainder gives an equal share of what is left, and one more to the first
// entries by name, so that no credit lies idle.
func (l *Lender) remainder(entry string, left, entries int, settled map[string]bool) int {
	before := 0
	for name := range l.loans {
		if !settled[name] && name < entry {
			before++
		}
	}
	share := left / entries
	if before < left%entries {
		share++
	}
	return share
}

// Lent returns the sum of what entries may have in progress.
func (l *Lender) Lent(now time.Time) int {
	l.expire(now)
	sum := 0
	for _, n := range l.loans {
		sum += n.lent()
	}
	return sum
}
