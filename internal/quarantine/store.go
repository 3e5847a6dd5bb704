package quarantine

import (
	"maps"
	"time"
)

// Write is a change of a part's row in the store, on the condition that the row
// has the version; 0 means that it must not exist.
type Write struct {
	Part    string
	Version int64
	// Delete is set to delete the row. Otherwise it gets the record's value.
	Delete bool
	Record Record
	// Trial is set if the write claims the trial of a part for this entry.
	Trial bool
}

// Row is a row of the store that this entry has read.
type Row struct {
	Part    string
	Version int64
	Deleted bool
	Record  Record
}

// Writes returns the writes that are due. Each is returned again after
// commitInterval until HandleWritten or ApplyRows shows that it is done. The latter
// also brings the row's version after a write whose condition was not met.
func (t *Tracker) Writes(now time.Time) []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Write
	for part, q := range t.quarantined {
		if now.Sub(q.committedAt) < commitInterval {
			continue
		}
		switch {
		case q.version == 0 && (q.ownCrash || now.Sub(q.since) >= ownRecordDelay):
			due = append(due, Write{Part: part, Record: q.record})
		case q.version != 0 && q.wanted && !now.Before(q.trialDue()):
			r := q.record
			r.Trials++
			r.Entry = t.entry
			due = append(due, Write{Part: part, Version: q.version, Record: r, Trial: true})
		default:
			continue
		}
		q.committedAt = now
	}
	for part, r := range t.released {
		if now.Sub(r.committedAt) >= commitInterval && (r.own || now.Sub(r.since) >= ownRecordDelay) {
			r.committedAt = now
			due = append(due, Write{Part: part, Version: r.version, Delete: true})
		}
	}
	return due
}

// HandleWritten processes a write that the store accepted with the version. A
// claimed trial lets the next request with the part through.
func (t *Tracker) HandleWritten(now time.Time, w Write, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Delete {
		delete(t.released, w.Part)
		return
	}
	q := t.quarantined[w.Part]
	if q == nil {
		// It was released while the write was under way.
		t.released[w.Part] = &release{version: version, own: true, since: now}
		return
	}
	if version > q.version {
		q.record, q.version, q.seenAt, q.wanted = w.Record, version, now, false
	}
	if w.Trial {
		q.trialUntil = now.Add(trialTTL)
	}
}

// ApplyRows applies rows read from the store. If full is set, they are the whole
// table. A part whose row was deleted is released: another entry has seen a
// success with it, or an operator cleared it.
func (t *Tracker) ApplyRows(now time.Time, rows []Row, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Part] = !row.Deleted
		q := t.quarantined[row.Part]
		switch {
		case !row.Deleted:
			t.applyRow(now, row)
		case t.released[row.Part] != nil:
			delete(t.released, row.Part)
		case q != nil && q.version != 0 && q.version < row.Version:
			t.rowDeleted(now, q)
		}
	}
	if !full {
		return
	}
	maps.DeleteFunc(t.released, func(part string, _ *release) bool { return !listed[part] })
	for part, q := range t.quarantined {
		if q.version != 0 && !listed[part] {
			t.rowDeleted(now, q)
		}
	}
}

// HandleRowLost processes that the store has lost the row of a part. If it is in
// quarantine, the row is written again.
func (t *Tracker) HandleRowLost(part string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.quarantined[part]; q != nil {
		q.version, q.ownCrash, q.committedAt = 0, true, time.Time{}
	}
}

// rowDeleted ends a quarantine whose row is gone. The part counts as sound, so
// that the crashes known before don't put it in quarantine again. The caller holds
// t.mu.
func (t *Tracker) rowDeleted(now time.Time, q *quarantined) {
	q.version = 0
	t.good.record(q.record.Part, now, now)
	t.release(now, q, false, "its row in the store was deleted")
}

func (t *Tracker) applyRow(now time.Time, row Row) {
	if r := t.released[row.Part]; r != nil {
		// Released here before the deletion reached the store.
		r.version = max(r.version, row.Version)
		return
	}
	q := t.quarantined[row.Part]
	if q == nil {
		delete(t.suspects, row.Part)
		t.add(now, &quarantined{record: row.Record, since: now, version: row.Version, seenAt: now}, "another entry recorded it")
		return
	}
	if row.Version > q.version {
		q.record, q.version, q.seenAt = row.Record, row.Version, now
	}
}
