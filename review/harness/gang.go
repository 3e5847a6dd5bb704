package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// The times of a join: a load before the first request takes a tenth of loadTime.
	loadTime   = 12 * time.Second
	warmTime   = 1100 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	openTime   = 300 * time.Millisecond

	eventCount    = 8
	eventInterval = 30 * time.Millisecond
)

// membership is a replica's place in a group.
type membership struct {
	name    string
	epoch   int64
	members []string
	state   string
}

// gangReplica is a replica that joins groups of a model. It keeps to the users' page:
// a start forgets the groups and the orders, the host keeps the staged model.
type gangReplica struct {
	store            *store
	rec              *recorder
	id, zone, domain string
	address          string
	loading          func() time.Duration
	// peers are all replicas, by ID.
	peers map[string]*gangReplica

	mu sync.Mutex
	// cut is set while the replica is partitioned from the store and all entries.
	cut bool
	// violations lists the joins that it took while the head of its group served.
	violations []string
	listener   net.Listener
	server     *http.Server
	alive      bool
	born       int64
	orders     int64
	staged     bool
	lastModel  bool
	highest    int64
	member     *membership
	last       string
}

// start begins a new lifetime at the replica's address.
func (g *gangReplica) start() error {
	if g.address == "" {
		g.address = freeAddress()
	}
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(pathReport, g.reached(g.report))
	mux.HandleFunc(pathOrder, g.reached(g.order))
	mux.HandleFunc("/", g.reached(g.serve))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener, g.server = l, &http.Server{Handler: mux}
	g.alive, g.born, g.orders, g.member, g.highest, g.lastModel, g.last = true, time.Now().UnixMilli(), 0, nil, 0, false, ""
	s := g.server
	go func() { _ = s.Serve(l) }() // until the lifetime ends
	return nil
}

// stop ends the lifetime: its connections are reset and it writes no more.
func (g *gangReplica) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive = false
	_ = g.server.Close()
}

// reached holds calls without an answer while the replica is partitioned.
func (g *gangReplica) reached(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		cut := g.cut
		g.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		f(w, r)
	}
}

func (g *gangReplica) setCut(cut bool) {
	g.mu.Lock()
	g.cut, g.last = cut, ""
	g.mu.Unlock()
}

// headState returns the state of a group at its head. The caller holds g.mu.
func (g *gangReplica) headState(m *membership) string {
	if m.members[0] == g.id {
		return m.state
	}
	head := g.peers[m.members[0]]
	if head == nil {
		return ""
	}
	head.mu.Lock()
	defer head.mu.Unlock()
	if head.alive && head.member != nil && head.member.name == m.name && head.member.epoch == m.epoch {
		return head.member.state
	}
	return ""
}

func (g *gangReplica) state() map[string]any {
	s := map[string]any{
		"stage": "prefill_decode", "busy": g.member != nil && g.member.state == "joining", "seq": g.orders, "born": g.born,
		"domain": g.domain, "staged": []string{}, "models": []any{}, "pace": 1.0,
	}
	if g.staged {
		s["staged"] = []string{modelName}
	}
	if m := g.member; m != nil {
		rank := 0
		for i, id := range m.members {
			if id == g.id {
				rank = i
			}
		}
		s["group"] = map[string]any{"name": m.name, "epoch": m.epoch, "rank": rank, "state": m.state}
		if m.state != "joining" {
			s["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
		}
	}
	return s
}

// publish writes the replica's entry if it has changed.
func (g *gangReplica) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publishLocked()
}

func (g *gangReplica) publishLocked() {
	if !g.alive || g.cut {
		return
	}
	entry := g.state()
	entry["service"], entry["address"], entry["zone"], entry["version"] = serviceModel, g.address, g.zone, "v1"
	entry["slots"], entry["state"], entry[fieldCold] = 17, "ready", 0
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	if string(encoded) != g.last && g.store.put(tableServers, g.id, entry) {
		g.last = string(encoded)
	}
}

func (g *gangReplica) report(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerExpected); want != "" && want != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.state())
}

func (g *gangReplica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string   `json:"operation"`
		Group     string   `json:"group"`
		Epoch     int64    `json:"epoch"`
		Members   []string `json:"members"`
	}
	if want := r.Header.Get(headerExpected); want != "" && want != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	mine := g.member != nil && g.member.name == o.Group && g.member.epoch == o.Epoch
	status := http.StatusConflict
	switch o.Operation {
	case "join":
		status = g.join(o.Group, o.Epoch, o.Members, mine)
	case "open":
		status = g.open(mine)
	case "close":
		if mine && g.member.state == "open" {
			g.member.state = "ready"
			status = http.StatusOK
		}
	case "leave":
		status = http.StatusOK
		if mine {
			g.member = nil
		}
	case "stage":
		status = http.StatusOK
		if !g.staged {
			status = http.StatusAccepted
			g.after(g.loading(), func() { g.staged = true })
		}
	default:
		status = http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		g.orders++
	}
	g.publishLocked()
	w.WriteHeader(status)
}

// after calls f, with g.mu held, after d unless the lifetime has ended.
func (g *gangReplica) after(d time.Duration, f func()) {
	born := g.born
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.alive && g.born == born {
			f()
			g.publishLocked()
		}
	})
}

func (g *gangReplica) join(name string, epoch int64, members []string, mine bool) int {
	switch {
	case epoch < g.highest:
		return http.StatusPreconditionFailed
	case mine && fmt.Sprint(members) != fmt.Sprint(g.member.members):
		return http.StatusPreconditionFailed
	case mine:
		return http.StatusOK
	}
	if m := g.member; m != nil {
		if state := g.headState(m); state == "open" || state == "closing" {
			text := fmt.Sprintf("replica %s takes a join of group %s while the head of its group %s is %s", g.id, name, m.name, state)
			g.violations = append(g.violations, text)
			g.rec.addf("%s", text)
		}
	}
	g.highest = epoch
	m := &membership{name: name, epoch: epoch, members: members, state: "joining"}
	g.member = m
	d := g.loading()
	switch {
	case g.lastModel:
		d = rejoinTime
	case g.staged:
		d = warmTime
	}
	g.after(d, func() {
		if g.member == m {
			m.state, g.staged, g.lastModel = "ready", true, true
		}
	})
	return http.StatusAccepted
}

func (g *gangReplica) open(mine bool) int {
	switch {
	case !mine || g.member.members[0] != g.id:
		return http.StatusConflict
	case g.member.state == "open":
		return http.StatusOK
	case g.member.state != "ready":
		return http.StatusConflict
	}
	m := g.member
	g.after(openTime, func() {
		if g.member == m && m.state == "ready" {
			m.state = "open"
		}
	})
	return http.StatusAccepted
}

// serve runs a client's request as the head of an open group.
func (g *gangReplica) serve(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	open := g.member != nil && g.member.state == "open" && g.member.members[0] == g.id
	g.mu.Unlock()
	if r.Header.Get(headerExpected) != g.id || !open {
		w.Header().Set(headerReplica, g.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headerRequest)
	g.rec.addf("replica %s runs %s", g.id, id)
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerSignature, "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	for i := first + 1; i <= eventCount; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
	}
}
