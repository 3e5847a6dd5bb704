//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is a small deployment on loopback addresses: the store, replicas and clients
// in this process, and gateways as processes of their own.
type world struct {
	record   *record
	store    *store
	fleet    *fleet
	dir      string
	trouble  bool
	gateways []*gateway
	zones    []string
	server   *http.Server
	clients  sync.WaitGroup
	// memory is how many tokens a replica holds, and maxAttempts how many replicas may
	// run a stream.
	memory, maxAttempts int
}

const (
	host        = "ficu95.example"
	modelName   = "daka510000"
	streamPath  = "/lohu930/2f"
	unsafePath  = "/puxa403/2f"
	safePath    = "/cufi504/2f"
	notes       = "notewriter"
	yard        = "yardbook"
	callerKey   = "n2ctnfzs989anu6wsjnb"
	callerName  = "hule930"
	groupSize   = 2
	modelSlots  = 17
	readyWithin = 30 * time.Second
)

// newWorld starts the store.
func newWorld(caseDir string, zones []string) (*world, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, store: newStore(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", zones: zones, memory: 1_860_000, maxAttempts: 2}
	w.fleet = &fleet{
		store: w.store, record: r, replicas: make(map[string]*replica),
		models: map[string]model{modelName: {modelName, groupSize, 12 * time.Second, 1100 * time.Millisecond}},
	}
	return w, nil
}

// startGateways starts the store's listener and n gateways in each zone.
func (w *world) startGateways(root string, n int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	for _, zone := range w.zones {
		for i := range n {
			g, err := newGateway(root, w.dir, fmt.Sprintf("frontend-%s-%d", zone, i+1), zone, w.zones, listener.Addr().String())
			if err != nil {
				return err
			}
			if err := g.start(); err != nil {
				return err
			}
			w.gateways = append(w.gateways, g)
		}
	}
	return nil
}

// close ends all processes and listeners.
func (w *world) close() {
	for _, g := range w.gateways {
		g.stop()
	}
	w.fleet.mu.Lock()
	var list []*replica
	for _, p := range w.fleet.replicas {
		list = append(list, p)
	}
	w.fleet.mu.Unlock()
	for _, p := range list {
		p.end()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// config returns the operator's configuration.
func (w *world) config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-stream", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 8000,
				fieldObjective: 400, "priority": 1, "service": notes, "maxAttempts": w.maxAttempts, "public": false,
				"sessionAffinity": true, fieldResumption: true, fieldGap: 300,
			},
			{
				"name": "r-unsafe", "host": host, "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 3000,
				fieldObjective: 300, "priority": 2, "service": yard, "maxAttempts": 1, "public": false,
			},
			{
				"name": "r-safe", "host": host, "prefix": "/cufi504/", "kind": "safe", "timeoutMs": 3000,
				fieldObjective: 300, "priority": 2, "service": yard, "maxAttempts": 2, "public": false,
			},
		},
		"services": []map[string]any{
			{
				"name": notes, "healthCheckPath": "/health", "connectionLimit": 308, "protocol": "h1", "tls": false,
				"coldStartS": 3.0, "coldPerS": 28.0,
				"engine": map[string]any{
					"slots": modelSlots, "kvCacheTokens": w.memory, "kvTokenBytes": 96256, "linkBandwidthMbps": 400000.0,
					"stride": 5, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
					"pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.0, fieldLoads: 7,
					"models": []map[string]any{
						{"name": modelName, "size": groupSize, "share": 1.0, "pace": 1.0, "loadS": 12.0, "warmS": 1.1},
					},
					"usual": map[string]any{"prompt": 979, "answer": 154}, "keeps": 1, "far_x": 4.0, "formMs": 300.0,
				},
			},
			{
				"name": yard, "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false,
				"coldStartS": 0.0, "coldPerS": 0.0,
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": callerName, "apiKeys": []string{callerKey}, "priority": 1}},
	}
}

var errNotReady = errors.New("the deployment did not become ready in time")

// waitReady waits until all gateways are ready and a number of groups is open.
func (w *world) waitReady(groups int) error {
	end := time.Now().Add(readyWithin)
	for time.Now().Before(end) {
		ready := true
		for _, g := range w.gateways {
			ready = ready && g.isReady()
		}
		if ready && len(w.openHeads()) >= groups {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// addReplicas starts the replicas of the model service, in the zones by turns. change is
// called for each before it starts.
func (w *world) addReplicas(n int, eventGap time.Duration, change func(i int, p *replica)) error {
	for i := range n {
		zone := w.zones[i%len(w.zones)]
		p := &replica{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: notes, zone: zone, domain: "fabric-" + zone,
			slots: modelSlots, memory: w.memory, eventGap: eventGap,
		}
		if change != nil {
			change(i, p)
		}
		if err := w.fleet.start(p); err != nil {
			return err
		}
	}
	return nil
}

// openHeads returns the heads of open groups, by ID.
func (w *world) openHeads() []*replica {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	var list []*replica
	for _, p := range w.fleet.replicas {
		if !p.gone && p.isHead() && p.group.state == "open" {
			list = append(list, p)
		}
	}
	return list
}

// streamResult is what a client has seen of a stream.
type streamResult struct {
	status   int
	events   []string
	complete bool
	err      error
}

// stream sends one streaming request and reads the whole response.
func (w *world) stream(g *gateway, id string, promptTokens int) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller+streamPath, strings.NewReader("a note"))
	r.Host = host
	part := fmt.Sprintf("%08x", rand.Uint32())
	for name, value := range map[string]string{
		"Request-Id": id, "Model": modelName, headerTokens: fmt.Sprint(promptTokens, ",154"), headerPrefix: "5c1e07a2:40," + fmt.Sprint(part, ":", promptTokens-40),
		headerDeadline: "8000", "Authorization": "Token " + callerKey, "Accept-Encoding": "identity",
	} {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return streamResult{err: err}
	}
	defer resp.Body.Close()
	result := streamResult{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return result
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, found := strings.CutPrefix(lines.Text(), "id: "); found {
			result.events = append(result.events, n)
		}
	}
	result.err = lines.Err()
	result.complete = lines.Err() == nil
	return result
}

// load sends streams at a rate until ctx ends.
func (w *world) load(ctx context.Context, perSecond float64, gateways []*gateway) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g := gateways[n%len(gateways)]
			id := fmt.Sprintf("%016x", rand.Uint64())
			w.clients.Add(1)
			go func() {
				defer w.clients.Done()
				w.record.add("client sends stream %s to %s", id, g.name)
				result := w.stream(g, id, 979)
				w.record.add("client got for %s: status %d, %d events, complete %t, error %v", id, result.status, len(result.events), result.complete, result.err)
			}()
		}
	}
}
