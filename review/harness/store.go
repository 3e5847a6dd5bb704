package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxEntries and maxRows are limits that the platform's page states.
	maxEntries = 100
	maxRows    = 500
	txTime     = 3 * time.Millisecond
)

type rowKey struct{ Table, Part, Key string }

type storedRow struct {
	rowKey
	Value   []byte
	Version int64
	Deleted bool
}

// store is the platform's store. Its rows and their history are in memory.
type store struct {
	rec *recorder

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	version int64
	changed chan struct{}
	// silent holds calls without an answer until it is closed; nil in good order.
	silent chan struct{}
	// refused counts the transactions with more entries than the store takes.
	refused int
	began   time.Time
	address string
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rows: map[rowKey]storedRow{}, changed: make(chan struct{}), began: time.Now()}
}

func (s *store) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(pathTransaction, s.guard(s.transact))
	mux.HandleFunc(pathGet, s.guard(s.get))
	mux.HandleFunc(pathFeed, s.guard(s.feed))
	go func() { _ = http.Serve(l, mux) }() // until the process ends
	return nil
}

// guard holds calls back while the store is silent.
func (s *store) guard(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		f(w, r)
	}
}

// setSilent makes the store answer nothing, or answer again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.silent == nil:
		s.silent = make(chan struct{})
		close(s.changed) // ends the calls that are held
		s.changed = make(chan struct{})
	case !silent && s.silent != nil:
		close(s.silent)
		s.silent = nil
	}
}

// put writes a row for the operator or a replica. It fails while the store is silent.
func (s *store) put(table, key string, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	s.write(storedRow{rowKey: rowKey{Table: table, Key: key}, Value: encoded})
	return true
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[rowKey{Table: table, Key: key}]; found {
		s.write(storedRow{rowKey: rowKey{Table: table, Key: key}, Deleted: true})
	}
}

// write applies one write with the next version. The caller holds s.mu.
func (s *store) write(rows ...storedRow) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, r.rowKey)
		} else {
			s.rows[r.rowKey] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowWire struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r rowWire) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

func toWire(rows []storedRow) []rowWire {
	list := make([]rowWire, 0, len(rows))
	for _, r := range rows {
		list = append(list, rowWire{r.Table, r.Part, r.Key, r.Value, r.Version, r.Deleted})
	}
	return list
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []rowWire `json:"precondition"`
		Writes     []rowWire `json:"writes"`
		Deletes    []rowWire `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(tx.Conditions) + len(tx.Writes) + len(tx.Deletes); n > maxEntries {
		s.refused++
		s.rec.addf("store refused a transaction of %d entries (%d conditions, %d writes, %d deletes)",
			n, len(tx.Conditions), len(tx.Writes), len(tx.Deletes))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var current []storedRow
	met := true
	for _, c := range tx.Conditions {
		row := s.rows[c.rowKey()]
		met = met && row.Version == c.Version
		current = append(current, row)
	}
	if !met {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	var rows []storedRow
	for _, put := range tx.Writes {
		rows = append(rows, storedRow{rowKey: put.rowKey(), Value: put.Value})
	}
	for _, del := range tx.Deletes {
		if _, found := s.rows[del.rowKey()]; found {
			rows = append(rows, storedRow{rowKey: del.rowKey(), Deleted: true})
		}
	}
	s.write(rows...)
	s.reply(w, http.StatusOK, nil, false)
}

// reply sends rows with the store's version. The caller holds s.mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []storedRow, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": toWire(rows), "hasMore": more, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storedRow
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(rows) > maxRows
	s.reply(w, http.StatusOK, rows[:min(len(rows), maxRows)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		latest := map[rowKey]storedRow{}
		for _, row := range s.history {
			if row.Version > after && row.Table == q.Get("table") {
				latest[row.rowKey] = row
			}
		}
		changed, silent := s.changed, s.silent
		if silent != nil {
			s.mu.Unlock()
			<-silent
			panic(http.ErrAbortHandler)
		}
		if len(latest) > 0 || wait <= 0 {
			var rows []storedRow
			for _, row := range latest {
				rows = append(rows, row)
			}
			slices.SortFunc(rows, func(a, b storedRow) int { return int(a.Version - b.Version) })
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
