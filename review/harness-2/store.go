//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ Table, Part, Key string }

// row is a row as it goes over the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// transaction is the body of a call that changes rows.
type transaction struct {
	Precondition []row `json:"precondition"`
	Writes       []row `json:"writes"`
	Deletes      []row `json:"deletes"`
}

// store stands in for the platform's store. Its responses are linearizable.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     int64
	changed chan struct{}
}

// maxReadBytes is how many bytes of rows a read returns at most.
const maxReadBytes = 1_000_000

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row for a replica, the operator or another writer.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: encoded, Ver: s.ver})
	s.notify()
}

// drop deletes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[rowKey{table, "", key}]; !found {
		return
	}
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

func (s *store) set(r row) {
	s.history = append(s.history, r)
	key := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, key)
		return
	}
	s.rows[key] = r
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(3 * time.Millisecond)
	switch r.URL.Path {
	case pathTransaction:
		s.serveTransaction(w, r)
	case pathGet:
		s.serveGet(w, r)
	case pathFeed:
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, change := range append(append([]row{}, t.Writes...), t.Deletes...) {
		if change.Table == "op" || change.Table == "servers" {
			http.Error(w, "forbidden", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, c := range t.Precondition {
		found := s.rows[rowKey{c.Table, c.Part, c.Key}]
		failed = failed || found.Ver != c.Ver
		if found.Ver != 0 {
			current = append(current, found)
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	s.ver++
	for _, c := range t.Writes {
		s.set(row{Table: c.Table, Part: c.Part, Key: c.Key, Value: c.Value, Ver: s.ver})
	}
	for _, c := range t.Deletes {
		if _, found := s.rows[rowKey{c.Table, c.Part, c.Key}]; found {
			s.set(row{Table: c.Table, Part: c.Part, Key: c.Key, Ver: s.ver, Deleted: true})
		}
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := make([]row, 0)
	for key, found := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") {
			list = append(list, found)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sortRows(list)
	n, size := 0, 0
	for n < len(list) && n < 500 && (n == 0 || size+len(list[n].Value) <= maxReadBytes) {
		size += len(list[n].Value)
		n++
	}
	more := n < len(list)
	list = list[:n]
	s.reply(w, http.StatusOK, map[string]any{"rows": list, "hasMore": more, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, fmt.Sprint(err, waitErr), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for done := false; ; {
		s.mu.Lock()
		list := make([]row, 0)
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Ver > after {
				list = append(list, change)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 || done {
			s.reply(w, http.StatusOK, map[string]any{"rows": list, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}
