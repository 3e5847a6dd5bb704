//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the replicas, as in the configuration.
const (
	heartbeat   = 1200 * time.Millisecond
	rejoinTime  = 200 * time.Millisecond
	openTime    = 300 * time.Millisecond
	stallTime   = 6 * time.Second
	drainTime   = 2 * time.Second
	maxLinger   = 10 * time.Second
	monitorStep = 20 * time.Millisecond
)

// model is a model that the replicas can load.
type model struct {
	name       string
	size       int
	load, warm time.Duration
}

// fleet holds all replicas. Its mu guards their state, so that the rules are judged on
// one moment.
type fleet struct {
	store  *store
	record *record
	models map[string]model
	// traffic is set once the first request has arrived. Loads before that take a tenth.
	traffic bool

	mu       sync.Mutex
	replicas map[string]*replica
}

// membership is a replica's place in a group.
type membership struct {
	name    string
	epoch   int64
	members []string
	model   string
	state   string
	// stalledSince is set while a head lacks a member.
	stalledSince time.Time
}

// replica stands in for one replica.
type replica struct {
	fleet        *fleet
	id, service  string
	zone, domain string
	addr         string
	born         int64
	slots        int
	state        string
	// drainingAt is when the store accepted the report that the replica is draining.
	drainingAt  time.Time
	seq         int64
	staged      []string
	lastModel   string
	maxEpoch    int64
	group       *membership
	running     int
	gone        bool
	server      *http.Server
	cutStreams  chan struct{}
	everReady   map[string]bool
	handlePlain func(w http.ResponseWriter, r *http.Request)
	eventGap    time.Duration
	// memory is how many tokens the requests at work may hold. tokens holds them by
	// request, and order the requests from the oldest to the newest.
	memory           int
	tokens           map[string]int
	order            []string
	registrationStop chan struct{}
}

// start begins to serve and registers the replica.
func (f *fleet) start(p *replica) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.fleet, p.addr, p.born, p.state = f, listener.Addr().String(), time.Now().UnixMilli(), "ready"
	p.cutStreams, p.everReady, p.tokens = make(chan struct{}), make(map[string]bool), make(map[string]int)
	p.registrationStop = make(chan struct{})
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	f.mu.Lock()
	f.replicas[p.id] = p
	p.publish()
	f.mu.Unlock()
	go p.run()
	return nil
}

// run renews the record and watches the members of the replica's group.
func (p *replica) run() {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	monitor := time.NewTicker(monitorStep)
	defer monitor.Stop()
	for {
		select {
		case <-p.registrationStop:
			return
		case <-beat.C:
			p.fleet.mu.Lock()
			p.publish()
			p.fleet.mu.Unlock()
		case <-monitor.C:
			p.fleet.mu.Lock()
			p.watchMembers()
			p.fleet.mu.Unlock()
		}
	}
}

// publish writes the record. The caller holds fleet.mu.
func (p *replica) publish() {
	if p.gone {
		return
	}
	p.fleet.store.put("servers", p.id, p.wire(true))
}

// wire returns the record, or the report without what only the record has.
func (p *replica) wire(full bool) map[string]any {
	models := []map[string]any{}
	if p.group != nil {
		models = append(models, map[string]any{"name": p.group.model, "version": 1, "adapters": []string{}})
	}
	m := map[string]any{
		"stage": "prefill_decode", "models": models, "seq": p.seq, "born": p.born, "domain": p.domain,
		"staged": append([]string{}, p.staged...), "busy": p.group != nil && p.group.state == "joining",
	}
	if p.group != nil {
		m["group"] = map[string]any{
			"name": p.group.name, "epoch": p.group.epoch, "rank": slices.Index(p.group.members, p.id), "state": p.group.state,
		}
	}
	if full {
		m["service"], m["address"], m["zone"], m["version"] = p.service, p.addr, p.zone, "v1"
		m["slots"], m["state"], m[fieldCold] = p.slots, p.state, 0
		return m
	}
	m["waiting"], m["running"], m[fieldCacheUsed], m["kvCacheTotal"], m["handles"] = 0, p.running, 0, p.memory, 0
	return m
}

// isHead reports whether the replica leads its group.
func (p *replica) isHead() bool { return p.group != nil && p.group.members[0] == p.id }

// watchMembers stalls or breaks the replica's group if it leads one that lacks a
// member. The caller holds fleet.mu.
func (p *replica) watchMembers() {
	g := p.group
	if p.gone || !p.isHead() || (g.state != "open" && g.state != "closing") {
		return
	}
	missing := ""
	for _, id := range g.members[1:] {
		if m := p.fleet.replicas[id]; m == nil || m.gone || m.group == nil || m.group.name != g.name || m.group.epoch != g.epoch {
			missing = id
		}
	}
	switch {
	case missing != "" && g.stalledSince.IsZero():
		g.stalledSince = time.Now()
		p.fleet.record.add("replica %s: group %s stands still, %s is missing", p.id, g.name, missing)
	case !g.stalledSince.IsZero() && time.Since(g.stalledSince) >= stallTime:
		g.state = "broken"
		p.cut()
		p.fleet.record.add("replica %s: group %s is broken", p.id, g.name)
		p.publish()
	case g.state == "closing" && p.running == 0 && g.stalledSince.IsZero():
		g.state = "ready"
		p.fleet.record.add("replica %s: group %s has closed", p.id, g.name)
		p.publish()
	}
}

// cut ends all work. The caller holds fleet.mu.
func (p *replica) cut() {
	close(p.cutStreams)
	p.cutStreams = make(chan struct{})
}

// drain reports that the replica leaves, and ends it after the drain time and as long
// as it lingers, or later while the head of its group has work.
func (p *replica) drain(linger time.Duration) {
	f := p.fleet
	f.mu.Lock()
	p.state = "draining"
	p.publish()
	p.drainingAt = time.Now()
	f.record.add("replica %s reports draining", p.id)
	f.mu.Unlock()
	began := time.Now()
	time.Sleep(drainTime + linger)
	for time.Since(began) < maxLinger {
		f.mu.Lock()
		busy := p.running > 0
		if g := p.group; g != nil {
			if head := f.replicas[g.members[0]]; head != nil && !head.gone && head.group != nil && head.group.name == g.name {
				busy = busy || head.running > 0
			}
		}
		f.mu.Unlock()
		if !busy {
			break
		}
		time.Sleep(monitorStep)
	}
	p.end()
}

// end stops the replica. Its record goes with it.
func (p *replica) end() {
	f := p.fleet
	f.mu.Lock()
	if p.gone {
		f.mu.Unlock()
		return
	}
	p.gone = true
	p.cut()
	close(p.registrationStop)
	f.record.add("replica %s has ended", p.id)
	f.mu.Unlock()
	_ = p.server.Close()
	f.store.drop("servers", p.id)
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headerExpected); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/hibiscuspulley/report":
		p.fleet.mu.Lock()
		body := p.wire(false)
		p.fleet.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case "/hibiscuspulley/order":
		p.serveOrder(w, r)
	case "/health":
		w.Header().Set("Replica-Id", p.id)
	default:
		if p.handlePlain != nil {
			p.handlePlain(w, r)
			return
		}
		p.serveStream(w, r)
	}
}

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
}

func (p *replica) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.gone {
		panic(http.ErrAbortHandler)
	}
	status := p.execute(o)
	f.record.add("order to %s: %s %s epoch %d model %s members %v -> %d", p.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members, status)
	if status == http.StatusAccepted {
		p.seq++
		p.publish()
	}
	w.WriteHeader(status)
}

// execute carries an order out and returns the status. The caller holds fleet.mu.
func (p *replica) execute(o order) int {
	g := p.group
	same := g != nil && g.name == o.Group && g.epoch == o.Epoch
	switch o.Operation {
	case "join":
		return p.join(o, same)
	case "stage":
		if slices.Contains(p.staged, o.Model) {
			return http.StatusOK
		}
		p.after(p.loadTime(o.Model), func() {
			p.staged = []string{o.Model}
			p.publish()
		})
		return http.StatusAccepted
	case "open":
		if !same || !p.isHead() || (g.state != "ready" && g.state != "open") {
			return http.StatusConflict
		}
		if g.state == "open" {
			return http.StatusOK
		}
		p.after(openTime, func() {
			if p.group == g && g.state == "ready" {
				g.state = "open"
				p.fleet.record.add("replica %s: group %s %v is open", p.id, g.name, g.members)
				p.publish()
			}
		})
		return http.StatusAccepted
	case "close":
		if !same || !p.isHead() || g.state != "open" {
			return http.StatusConflict
		}
		g.state = "closing" // the mode "wait" is the only one that the gateways use
		return http.StatusAccepted
	case "leave":
		if !same {
			return http.StatusConflict
		}
		p.group = nil
		p.cut()
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (p *replica) loadTime(name string) time.Duration {
	if !p.fleet.traffic {
		return p.fleet.models[name].load / 10
	}
	return p.fleet.models[name].load
}

func (p *replica) join(o order, same bool) int {
	g := p.group
	if o.Epoch < p.maxEpoch || (same && !slices.Equal(g.members, o.Members)) {
		return http.StatusPreconditionFailed
	}
	if same {
		return http.StatusOK
	}
	p.checkTwo(o)
	p.maxEpoch = o.Epoch
	took := p.loadTime(o.Model)
	switch {
	case p.lastModel == o.Model:
		took = rejoinTime
	case slices.Contains(p.staged, o.Model):
		took = p.fleet.models[o.Model].warm
	}
	if g != nil {
		p.cut()
	}
	next := &membership{name: o.Group, epoch: o.Epoch, members: o.Members, model: o.Model, state: "joining"}
	p.group, p.lastModel = next, o.Model
	p.after(took, func() {
		if p.group == next && next.state == "joining" {
			next.state = "ready"
			if !slices.Contains(p.staged, o.Model) {
				p.staged = []string{o.Model}
			}
			p.everReady[groupKey(next.name, next.epoch, next.members)] = true
			p.publish()
		}
	})
	return http.StatusAccepted
}

func groupKey(name string, epoch int64, members []string) string {
	return fmt.Sprint(name, epoch, members)
}

// checkTwo judges the rule TWO for a join that is about to be taken.
func (p *replica) checkTwo(o order) {
	g := p.group
	if g == nil {
		return
	}
	head := p.fleet.replicas[g.members[0]]
	if head == nil || head.gone || head.group == nil || head.group.name != g.name || head.group.epoch != g.epoch {
		return
	}
	if s := head.group.state; s == "open" || s == "closing" {
		still := ""
		if !head.group.stalledSince.IsZero() {
			still = fmt.Sprintf(", stands still for %.1f s", time.Since(head.group.stalledSince).Seconds())
		}
		p.fleet.record.violation("TWO: replica %s takes a join of group %s while the head %s of its group %s is %s%s, with %d requests at work",
			p.id, o.Group, head.id, g.name, s, still, head.running)
	}
}

// after calls f with fleet.mu held, unless the replica has ended meanwhile.
func (p *replica) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		p.fleet.mu.Lock()
		defer p.fleet.mu.Unlock()
		if !p.gone {
			f()
		}
	})
}

// streamEvents is the number of events of a stream.
const streamEvents = 24

func (p *replica) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f := p.fleet
	id := r.Header.Get("Request-Id")
	f.mu.Lock()
	f.traffic = true
	if !p.isHead() || p.group.state == "joining" || p.group.state == "ready" {
		f.mu.Unlock()
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.group.state != "open" || p.running >= p.slots {
		f.mu.Unlock()
		w.Header().Set("Request-Id", id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g, cut := p.group, p.cutStreams
	p.running++
	prompt := 0
	_, _ = fmt.Sscan(r.Header.Get(headerTokens), &prompt)
	p.tokens[id], p.order = prompt, append(p.order, id)
	f.record.add("replica %s runs %s in group %s from event %q", p.id, id, g.name, r.Header.Get("Last-Event-Id"))
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		p.running--
		delete(p.tokens, id)
		p.order = slices.DeleteFunc(p.order, func(other string) bool { return other == id })
		f.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", id)
	w.Header().Set(headerSignature, p.id+"."+id)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	flusher := http.NewResponseController(w)
	preempted := false
	for n := from + 1; n <= streamEvents; {
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			f.record.add("the gateway has closed the channel on which replica %s answers %s, after event %d", p.id, id, n-1)
			return
		case <-time.After(p.eventGap):
		}
		f.mu.Lock()
		still := !g.stalledSince.IsZero()
		if p.preempts(id) {
			if !preempted {
				f.record.add("replica %s preempts %s before event %d", p.id, id, n)
			}
			preempted, still = true, true
		} else {
			if preempted {
				f.record.add("replica %s goes on with %s at event %d", p.id, id, n)
			}
			preempted = false
			p.tokens[id] += eventTokens
		}
		f.mu.Unlock()
		if still {
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		_ = flusher.Flush()
		n++
	}
	f.record.add("replica %s has answered %s in full", p.id, id)
}

// eventTokens is the number of tokens that an event holds.
const eventTokens = 5

// preempts reports whether the request waits because the replica's memory has run out
// and it is the newest one. The caller holds fleet.mu.
func (p *replica) preempts(id string) bool {
	used := 0
	for _, other := range p.order {
		if used += p.tokens[other]; other == id {
			break
		}
	}
	return used > p.memory && p.order[0] != id
}
