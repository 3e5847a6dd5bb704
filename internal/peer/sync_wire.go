package peer

import "time"

type syncWire struct {
	Entry     string           `cbor:"1,keyasint"`
	Sessions  [][]byte         `cbor:"2,keyasint,omitempty"`
	WantLoads bool             `cbor:"3,keyasint,omitempty"`
	Versions  map[string]int64 `cbor:"4,keyasint,omitempty"`
	Roster    uint64           `cbor:"5,keyasint,omitempty"`
	Loads     []loadWire       `cbor:"20,keyasint,omitempty"`
	Crashes   []crashWire      `cbor:"21,keyasint,omitempty"`
	Successes []successWire    `cbor:"22,keyasint,omitempty"`
	Quota     *quotaWire       `cbor:"23,keyasint,omitempty"`
	Demand    []rateWire       `cbor:"24,keyasint,omitempty"`
}

type syncReplyWire struct {
	Entry     string            `cbor:"1,keyasint"`
	Tables    []tableUpdateWire `cbor:"2,keyasint,omitempty"`
	Roster    []rosterWire      `cbor:"3,keyasint,omitempty"`
	Loads     []loadWire        `cbor:"20,keyasint,omitempty"`
	Crashes   []crashWire       `cbor:"21,keyasint,omitempty"`
	Successes []successWire     `cbor:"22,keyasint,omitempty"`
	Quota     *quotaWire        `cbor:"23,keyasint,omitempty"`
	Demand    []rateWire        `cbor:"24,keyasint,omitempty"`
}

type tableUpdateWire struct {
	Table   string         `cbor:"1,keyasint"`
	Version int64          `cbor:"2,keyasint"`
	Full    bool           `cbor:"3,keyasint,omitempty"`
	AgeMS   int64          `cbor:"4,keyasint"`
	Rows    []tableRowWire `cbor:"5,keyasint,omitempty"`
}

type tableRowWire struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

type rosterWire struct {
	Name     string  `cbor:"1,keyasint"`
	Zone     string  `cbor:"2,keyasint"`
	Address  string  `cbor:"3,keyasint,omitempty"`
	Strength float64 `cbor:"4,keyasint,omitempty"`
}

func syncToWire(s Sync) *syncWire {
	w := &syncWire{
		Entry: s.Entry, Sessions: s.Sessions, WantLoads: s.WantLoads, Versions: s.Versions, Roster: s.Roster, Loads: loadsToWire(s.Loads),
		Quota: quotaToWire(s.Quota), Demand: ratesToWire(s.Demand),
	}
	w.Crashes, w.Successes = reportToWire(s.Parts)
	return w
}

func syncFromWire(w syncWire) *Sync {
	return &Sync{
		Entry: w.Entry, Sessions: w.Sessions, WantLoads: w.WantLoads, Versions: w.Versions, Roster: w.Roster, Loads: loadsFromWire(w.Loads),
		Parts: reportFromWire(w.Crashes, w.Successes), Quota: quotaFromWire(w.Quota), Demand: ratesFromWire(w.Demand),
	}
}

func syncReplyToWire(r SyncReply) *syncReplyWire {
	w := &syncReplyWire{Entry: r.Entry, Loads: loadsToWire(r.Loads), Quota: quotaToWire(r.Quota), Demand: ratesToWire(r.Demand)}
	w.Crashes, w.Successes = reportToWire(r.Parts)
	for _, t := range r.Tables {
		// Rounded up: a copy must not count as more recent than it is.
		u := tableUpdateWire{Table: t.Table, Version: t.Version, Full: t.Full, AgeMS: t.Age.Milliseconds() + 1}
		for _, row := range t.Rows {
			u.Rows = append(u.Rows, tableRowWire{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
		w.Tables = append(w.Tables, u)
	}
	for _, e := range r.Roster {
		w.Roster = append(w.Roster, rosterWire{Name: e.Name, Zone: e.Zone, Address: e.Address, Strength: e.Strength})
	}
	return w
}

func syncReplyFromWire(w syncReplyWire) *SyncReply {
	r := &SyncReply{
		Entry: w.Entry, Loads: loadsFromWire(w.Loads), Parts: reportFromWire(w.Crashes, w.Successes), Quota: quotaFromWire(w.Quota),
		Demand: ratesFromWire(w.Demand),
	}
	for _, t := range w.Tables {
		u := TableUpdate{Table: t.Table, Version: t.Version, Full: t.Full, Age: time.Duration(t.AgeMS) * time.Millisecond}
		for _, row := range t.Rows {
			u.Rows = append(u.Rows, TableRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
		r.Tables = append(r.Tables, u)
	}
	for _, e := range w.Roster {
		r.Roster = append(r.Roster, RosterEntry{Name: e.Name, Zone: e.Zone, Address: e.Address, Strength: e.Strength})
	}
	return r
}
