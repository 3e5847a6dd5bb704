package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainReplica is a replica of a plain service.
type plainReplica struct {
	store    *store
	rec      *recorder
	id, zone string
	address  string
	slots    int
	work     time.Duration
	// coldLimit is how many requests in one second a cold replica bears.
	coldLimit int

	mu        sync.Mutex
	server    *http.Server
	alive     bool
	last      string
	born      int64
	coldUntil time.Time
	arrivals  []time.Time
	// mostInOneSecond is the largest number of requests that reached the replica in
	// one second while it was cold.
	mostInOneSecond int
	crashed         bool
}

func (p *plainReplica) start() error {
	if p.address == "" {
		p.address = freeAddress()
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", p.health)
	mux.HandleFunc("/", p.serve)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server, p.alive, p.born = &http.Server{Handler: mux}, true, time.Now().UnixMilli()
	s := p.server
	go func() { _ = s.Serve(l) }() // until the replica crashes
	return nil
}

// beat publishes the replica's entry if it has changed.
func (p *plainReplica) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return
	}
	cold := max(time.Until(p.coldUntil).Milliseconds(), 0)
	summary := fmt.Sprint(p.address, p.born, cold)
	if summary != p.last && p.store.put(tableServers, p.id, map[string]any{
		"service": servicePlain, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready",
		fieldCold: cold, "seq": 0, "born": p.born,
	}) {
		p.last = summary
	}
}

// turnCold makes the replica cold for d.
func (p *plainReplica) turnCold(d time.Duration) {
	p.mu.Lock()
	p.coldUntil = time.Now().Add(d)
	p.mu.Unlock()
	p.beat()
}

func (p *plainReplica) health(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cold := max(time.Until(p.coldUntil).Milliseconds(), 0)
	p.mu.Unlock()
	w.Header().Set(headerReplica, p.id)
	w.Header().Set(headerCold, fmt.Sprint(cold))
}

// arrive counts a request that reached the replica while it is cold. It returns false
// if the replica crashes.
func (p *plainReplica) arrive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.coldUntil) {
		return p.alive
	}
	p.arrivals = append(p.arrivals, now)
	n := 0
	for _, at := range p.arrivals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	p.mostInOneSecond = max(p.mostInOneSecond, n)
	if p.alive && n > p.coldLimit {
		p.rec.addf("replica %s crashes: it is cold, and %d requests reached it in one second", p.id, n)
		p.alive, p.crashed = false, true
		go p.server.Close()
	}
	return p.alive
}

func (p *plainReplica) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerExpected) != p.id {
		w.Header().Set(headerReplica, p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headerRequest)
	if !p.arrive(time.Now()) {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.rec.addf("replica %s runs %s", p.id, id)
	time.Sleep(p.work)
	p.mu.Lock()
	alive := p.alive
	p.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerSignature, "sig-"+id)
	_, _ = io.WriteString(w, "done "+id)
}

// settleTime is how long the entries run before the clients call.
const settleTime = 5 * time.Second

// startPlain starts one plain replica and some entries in each zone, and returns once
// the entries are ready. configure sets the properties of each replica.
func (r *run) startPlain(zones []string, entries int, configure func(p *plainReplica)) ([]*plainReplica, error) {
	var replicas []*plainReplica
	for _, zone := range zones {
		p := &plainReplica{store: r.store, rec: r.rec, id: "i-" + zone, zone: zone, slots: 6, work: 20 * time.Millisecond}
		configure(p)
		if err := p.start(); err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
		r.addGateways(zone, zones, entries)
	}
	go func() {
		for {
			for _, p := range replicas {
				p.beat()
			}
			time.Sleep(heartbeatMillis * time.Millisecond)
		}
	}()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if err := awaitReady(r.list, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return replicas, nil
}
