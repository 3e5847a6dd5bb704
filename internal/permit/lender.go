package permit

import "time"

// cancelGrace is how long after the expiry of a grant its cancelled requests
// may still be in flight.
const cancelGrace = 500 * time.Millisecond

// GrantTerms holds the conditions under which a group's credits are granted.
type GrantTerms struct {
	// Limit is the maximum number of concurrent requests of the group.
	Limit int
	// Load is the number of requests in flight that the group itself reports. It
	// lags behind the actual number.
	Load int
	// TTL is the validity of the grant: how long the probe results behind it
	// stay fresh.
	TTL time.Duration
	// Cold reports whether requests under the grant must end when it expires.
	Cold bool
}

// outstandingGrant is a grant that its entry may still use.
type outstandingGrant struct {
	seq     uint64
	credits int
	// until is the expiry of the grant plus cancelGrace.
	until time.Time
}

// entryCredits holds the outstanding grants of one entry and the usage that the
// entry last reported.
type entryCredits struct {
	grants []outstandingGrant
	// seq is the sequence number of the last grant.
	seq uint64
	// want and inFlight are those of the entry's last request.
	want     int
	inFlight int
	// until is the expiry of the last grant plus cancelGrace. The entry is removed
	// then, along with all its grants.
	until time.Time
}

// Lender grants one group's credits to entries. No grant raises the outstanding
// credits, plus the load that the group reports beyond the requests in flight of
// the entries, above the limit. It is not safe for concurrent use.
type Lender struct {
	entries map[string]*entryCredits
	// notBefore is the time from which cold credits may be granted. By then the
	// cold credits of an earlier Lender of the group have expired.
	notBefore time.Time
}

// NewLender returns a Lender that grants no cold credits before notBefore.
func NewLender(notBefore time.Time) *Lender {
	return &Lender{entries: make(map[string]*entryCredits), notBefore: notBefore}
}

// Grant grants credits in response to a request that arrived at now. It may
// grant 0 credits. The caller sets the Generation and Leader of the Grant.
func (l *Lender) Grant(now time.Time, req CreditRequest, terms GrantTerms) Grant {
	l.expire(now)
	e := l.entries[req.Entry]
	if e == nil {
		e = &entryCredits{}
		l.entries[req.Entry] = e
	}
	e.acknowledge(req.AppliedSeq)
	e.want = req.Want
	e.inFlight = req.InFlight
	e.until = now.Add(terms.TTL + cancelGrace)
	credits := l.credits(req.Entry, terms)
	if terms.Cold && now.Before(l.notBefore) {
		credits = 0
	}
	e.seq = max(e.seq, req.AppliedSeq) + 1
	e.grants = append(e.grants, outstandingGrant{
		seq: e.seq, credits: credits, until: e.until,
	})
	return Grant{
		Group:   req.Group,
		Seq:     e.seq,
		Credits: credits,
		TTL:     terms.TTL,
		Cold:    terms.Cold,
	}
}

// acknowledge removes the grants that the entry has replaced by a later one.
func (e *entryCredits) acknowledge(appliedSeq uint64) {
	kept := e.grants[:0]
	for _, g := range e.grants {
		if g.seq >= appliedSeq {
			kept = append(kept, g)
		}
	}
	e.grants = kept
}

// outstanding returns how many requests the entry may have in flight: the
// largest grant that it may still use, or the reported number if that is higher.
func (e *entryCredits) outstanding() int {
	outstanding := e.inFlight
	for _, g := range e.grants {
		outstanding = max(outstanding, g.credits)
	}
	return outstanding
}

// expire removes the grants whose validity and cancelGrace have passed. It also
// removes the entries whose last grant was one of them, with earlier grants that
// had a longer TTL.
func (l *Lender) expire(now time.Time) {
	for name, e := range l.entries {
		kept := e.grants[:0]
		for _, g := range e.grants {
			if now.Before(g.until) {
				kept = append(kept, g)
			}
		}
		e.grants = kept
		if !now.Before(e.until) {
			delete(l.entries, name)
		}
	}
}

// credits returns the credits for the entry: its fair share, limited to what the
// outstanding credits of the other entries leave. Load that the group reports
// beyond the entries' requests in flight counts against the limit as well.
func (l *Lender) credits(entry string, terms GrantTerms) int {
	grantedToOthers, reportedInFlight := 0, 0
	for name, e := range l.entries {
		reportedInFlight += e.inFlight
		if name != entry {
			grantedToOthers += e.outstanding()
		}
	}
	unattributed := max(0, terms.Load-reportedInFlight)
	available := terms.Limit - grantedToOthers - unattributed
	return max(0, min(available, l.fairShare(entry, terms.Limit)))
}

// fairShare returns the entry's max-min fair share of the limit: entries that
// request less than an equal share leave the rest to the others. The entry must
// be in l.entries.
func (l *Lender) fairShare(entry string, limit int) int {
	left, unsatisfied := limit, len(l.entries)
	satisfied := make(map[string]bool, unsatisfied)
	for unsatisfied > 0 {
		share := left / unsatisfied
		progress := false
		for name, e := range l.entries {
			if satisfied[name] || e.want > share {
				continue
			}
			if name == entry {
				return e.want
			}
			satisfied[name] = true
			left -= e.want
			unsatisfied--
			progress = true
		}
		if !progress {
			return l.equalShare(entry, left, unsatisfied, satisfied)
		}
	}
	return left
}

// equalShare returns the entry's equal share of the credits left. The division
// remainder goes to the first entries by name, so no credit stays unused.
func (l *Lender) equalShare(entry string, left, unsatisfied int, satisfied map[string]bool) int {
	before := 0
	for name := range l.entries {
		if !satisfied[name] && name < entry {
			before++
		}
	}
	share := left / unsatisfied
	if before < left%unsatisfied {
		share++
	}
	return share
}

// Outstanding returns the outstanding credits of all entries at now.
func (l *Lender) Outstanding(now time.Time) int {
	l.expire(now)
	sum := 0
	for _, e := range l.entries {
		sum += e.outstanding()
	}
	return sum
}
