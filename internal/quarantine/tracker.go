package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// firstTrial is the time from the start of a quarantine until one request may
	// try the part again. It doubles with each trial up to longestTrial.
	firstTrial   = 30 * time.Second
	longestTrial = 15 * time.Minute
	// trialTTL is how long a granted trial waits for a request.
	trialTTL = 10 * time.Second
	// maxQuarantined limits the parts in quarantine. Beyond it, the one that has
	// been there longest is released.
	maxQuarantined = 256
	// ownRecordDelay is how long an entry leaves it to the others to record a
	// quarantine or its end, if it knows of it only through them.
	ownRecordDelay = 2 * time.Second
	// commitInterval is the minimum time between two writes about a part.
	commitInterval = time.Second
)

// Tracker counts the crashes of each part and holds the parts in quarantine. It
// is safe for concurrent use.
type Tracker struct {
	entry string

	mu       sync.Mutex
	suspects map[string]*suspect
	good     successes
	// successCount counts the successes of this entry's requests.
	successCount int
	// explained holds the servers that crashed on a part in quarantine, and when.
	// Their crashes are not charged to other parts.
	explained   map[registry.Incarnation]time.Time
	quarantined map[string]*quarantined
	// released holds the versions of rows to delete, by part.
	released map[string]*release
	outbox   outbox
	changes  []Change
}

// quarantined is the state of a part in quarantine.
type quarantined struct {
	record Record
	since  time.Time
	// version is the version of the part's row, or 0 while it has none. seenAt is
	// when this entry saw that version.
	version int64
	seenAt  time.Time
	// ownCrash is set if this entry noticed one of the crashes.
	ownCrash    bool
	committedAt time.Time
	// trialUntil is set while this entry may let one request through.
	trialUntil time.Time
	// wanted is set if a request asked for a trial that is due.
	wanted bool
}

// release is the end of a quarantine whose row is not deleted yet.
type release struct {
	version int64
	// own is set if this entry had the success.
	own         bool
	since       time.Time
	committedAt time.Time
}

// Change describes a part that was put in quarantine or released, for the log.
type Change struct {
	Part        string
	Quarantined bool
	Reason      string
	Record      Record
}

// NewTracker returns an empty Tracker for the entry.
func NewTracker(entry string) *Tracker {
	return &Tracker{
		entry: entry, suspects: make(map[string]*suspect), explained: make(map[registry.Incarnation]time.Time),
		quarantined: make(map[string]*quarantined), released: make(map[string]*release),
	}
}

// RecordCrash charges the parts of a request that waited for its first event when
// the server crashed.
func (t *Tracker) RecordCrash(now time.Time, server registry.Incarnation, request string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts[:min(len(parts), maxChargedParts)] {
		t.charge(now, part, charge{server, request, now}, true)
		t.outbox.addCrash(Crash{Part: part, Server: server, Request: request}, now)
	}
}

// RecordSuccess clears the parts of a request whose response has begun to arrive
// while its server goes on.
func (t *Tracker) RecordSuccess(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.successCount++
	for _, part := range parts[:min(len(parts), maxChargedParts)] {
		if t.suspects[part] != nil || t.quarantined[part] != nil {
			t.outbox.addSuccess(part, now, now)
		}
		t.clear(now, part, now, true, "a response with it has begun to arrive")
	}
}

// Merge adds the report of a peer. Items that are known already have no effect.
func (t *Tracker) Merge(now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range r.Crashes {
		at := now.Add(-c.Age)
		if last, found := t.good.last(c.Part); found && t.suspects[c.Part] == nil {
			t.outbox.addSuccess(c.Part, last, now)
		}
		t.charge(now, c.Part, charge{c.Server, c.Request, at}, false)
	}
	for _, s := range r.Successes {
		t.clear(now, s.Part, now.Add(-s.Age), false, "a peer's response with it has begun to arrive")
	}
}

// Forward adds the report of a peer and passes what is new in it on to the other
// entries. Items keep their ages, so that they are forgotten everywhere at the same
// time, and no item is passed on twice.
func (t *Tracker) Forward(now time.Time, r Report) {
	t.Merge(now, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.forward(r, now)
}

// Report returns what to tell the other entries.
func (t *Tracker) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outbox.report(now)
}

// charge adds a crash to a part's charges, unless it is explained by another part
// or older than the part's last success. The caller holds t.mu.
func (t *Tracker) charge(now time.Time, part string, c charge, own bool) {
	if t.quarantined[part] != nil {
		t.explain(c.server, now)
		return
	}
	if _, found := t.explained[c.server]; found {
		return
	}
	if last, found := t.good.last(part); found && !c.at.After(last) {
		return
	}
	s := t.suspects[part]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[part] = s
	}
	s.ownCrash = s.ownCrash || own
	if s.charged(c.server) || len(s.crashes) >= maxCrashes {
		return
	}
	if len(s.crashes) == 0 {
		s.successesBefore = t.successCount
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b charge) int { return a.at.Compare(b.at) })
}

// makeRoom removes the suspect whose last crash is the oldest if there are too
// many. The caller holds t.mu.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	oldest, found := "", time.Time{}
	for part, s := range t.suspects {
		last := time.Time{}
		if n := len(s.crashes); n > 0 {
			last = s.crashes[n-1].at
		}
		if oldest == "" || last.Before(found) {
			oldest, found = part, last
		}
	}
	delete(t.suspects, oldest)
}

// clear records a success at a time, of this entry if own is set: it drops the
// part's earlier charges and ends a quarantine that began before it. The caller
// holds t.mu.
func (t *Tracker) clear(now time.Time, part string, at time.Time, own bool, reason string) {
	t.good.record(part, at, now)
	if s := t.suspects[part]; s != nil {
		s.drop(func(c charge) bool { return !c.at.After(at) })
		if len(s.crashes) == 0 {
			delete(t.suspects, part)
		}
	}
	if q := t.quarantined[part]; q != nil && at.After(q.since) {
		t.release(now, q, own, reason)
	}
}

// release ends a quarantine. The caller holds t.mu.
func (t *Tracker) release(now time.Time, q *quarantined, own bool, reason string) {
	delete(t.quarantined, q.record.Part)
	if q.version != 0 {
		t.released[q.record.Part] = &release{version: q.version, own: own, since: now}
	}
	t.changes = append(t.changes, Change{Part: q.record.Part, Reason: reason, Record: q.record})
}

// explain attributes a server's crash to a part in quarantine. The caller holds
// t.mu.
func (t *Tracker) explain(server registry.Incarnation, now time.Time) {
	t.explained[server] = now
	for part, s := range t.suspects {
		s.drop(func(c charge) bool { return c.server == server })
		if len(s.crashes) == 0 {
			delete(t.suspects, part)
		}
	}
}

// Step puts the convicted parts in quarantine, forgets what is too old, and
// returns the changes since the last call.
func (t *Tracker) Step(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.explained, func(_ registry.Incarnation, at time.Time) bool { return now.Sub(at) > crashMemory })
	for part, s := range t.suspects {
		s.drop(func(c charge) bool { return now.Sub(c.at) > crashMemory })
		if len(s.crashes) == 0 {
			delete(t.suspects, part)
		}
	}
	for {
		parts := t.mostCharged(now)
		if len(parts) == 0 {
			break
		}
		t.convict(now, parts)
	}
	changes := t.changes
	t.changes = nil
	return changes
}

// mostCharged returns those of the suspects to convict that are charged with the
// most crashes. The others may only have waited on the same servers. The caller
// holds t.mu.
func (t *Tracker) mostCharged(now time.Time) []string {
	var parts []string
	most := 0
	for part, s := range t.suspects {
		_, servedBefore := t.good.last(part)
		if len(s.crashes) < most || !s.convicted(now, servedBefore, t.successCount) {
			continue
		}
		if len(s.crashes) > most {
			parts, most = nil, len(s.crashes)
		}
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// convict puts suspects in quarantine. Their crashes are no longer charged to
// other parts. The caller holds t.mu.
func (t *Tracker) convict(now time.Time, parts []string) {
	var crashes []charge
	for _, part := range parts {
		s := t.suspects[part]
		delete(t.suspects, part)
		crashes = append(crashes, s.crashes...)
		t.add(now, &quarantined{record: t.newRecord(part, s), since: now, seenAt: now, ownCrash: s.ownCrash},
			"it was in requests in progress on servers that crashed")
	}
	for _, c := range crashes {
		t.explain(c.server, now)
	}
}

func (t *Tracker) newRecord(part string, s *suspect) Record {
	r := Record{Part: part, Entry: t.entry}
	for _, c := range s.crashes {
		r.Servers = append(r.Servers, c.server.ID)
		if !slices.Contains(r.Requests, c.request) {
			r.Requests = append(r.Requests, c.request)
		}
	}
	return r
}

// add adds a part in quarantine and releases another one if there are too many.
// The caller holds t.mu.
func (t *Tracker) add(now time.Time, q *quarantined, reason string) {
	if len(t.quarantined) >= maxQuarantined {
		var oldest *quarantined
		for _, other := range t.quarantined {
			if oldest == nil || other.since.Before(oldest.since) {
				oldest = other
			}
		}
		t.release(now, oldest, true, "too many parts are in quarantine")
	}
	delete(t.released, q.record.Part)
	t.quarantined[q.record.Part] = q
	t.changes = append(t.changes, Change{Part: q.record.Part, Quarantined: true, Reason: reason, Record: q.record})
}

// Suspected reports whether one of the parts has crashed more than one server and
// was never served. A request with it should not be retried.
func (t *Tracker) Suspected(parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil || len(s.crashes) < crashesToSuspect {
			continue
		}
		if _, servedBefore := t.good.last(part); !servedBefore {
			return true
		}
	}
	return false
}

// Verdict says what to do with a request.
type Verdict struct {
	// Held is set if the request must be rejected because of Part, which is tried
	// again after RetryAfter.
	Held       bool
	Part       string
	RetryAfter time.Duration
	// Trial is set if the request is let through to try a part.
	Trial bool
}

// Judge decides about a new request with the parts.
func (t *Tracker) Judge(now time.Time, parts []string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var trial *quarantined
	for _, part := range parts {
		q := t.quarantined[part]
		if q == nil {
			continue
		}
		if trial == nil && now.Before(q.trialUntil) {
			trial = q
			continue
		}
		wait := q.trialDue().Sub(now)
		q.wanted = q.wanted || wait <= 0
		return Verdict{Held: true, Part: part, RetryAfter: max(wait, time.Second)}
	}
	if trial == nil {
		return Verdict{}
	}
	trial.trialUntil = time.Time{}
	return Verdict{Trial: true, Part: trial.record.Part}
}

// Held reports whether one of the parts is in quarantine.
func (t *Tracker) Held(parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(p string) bool { return t.quarantined[p] != nil })
}

func (q *quarantined) trialDue() time.Time {
	delay := firstTrial
	for range q.record.Trials {
		delay = min(2*delay, longestTrial)
	}
	return q.seenAt.Add(delay)
}

// Counts returns how many parts are charged with crashes and how many are in
// quarantine.
func (t *Tracker) Counts() (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects), len(t.quarantined)
}
