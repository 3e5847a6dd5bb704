//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// addPlainReplicas starts replicas of the plain service, which answer each request
// after workTime.
func (w *world) addPlainReplicas(first, n int, workTime time.Duration) error {
	for i := first; i < first+n; i++ {
		p := &replica{
			id: fmt.Sprintf("i-%08x", 0x2b3a4100+i), service: yard, zone: w.zones[i%len(w.zones)], domain: "rack-1", slots: 6,
		}
		p.handlePlain = func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			id := r.Header.Get("Request-Id")
			w.fleet.mu.Lock()
			drainingAt := p.drainingAt
			w.fleet.mu.Unlock()
			w.record.add("replica %s runs %s %s %s", p.id, r.Method, id, body)
			if !drainingAt.IsZero() {
				rw.Header().Set("Server-Leaving", "1")
				if late := time.Since(drainingAt); late > drainTime {
					w.record.violation("DRAIN: request %s reaches replica %s %.1f s after the store accepted that it is draining", id, p.id, late.Seconds())
				}
			}
			time.Sleep(workTime)
			rw.Header().Set("Request-Id", id)
			rw.Header().Set(headerSignature, p.id+"."+id)
			fmt.Fprintf(rw, "answer to %s", id)
		}
		if err := w.fleet.start(p); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts an HTTP server that is no replica: it knows one path of its own.
func (w *world) startAgent() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/agent/status", func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprintln(rw, "ok") })
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) {
		w.record.add("the agent gets %s %s %s and knows no such path", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
		http.NotFound(rw, r)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// plainResult is what a client has seen of a request to the plain service.
type plainResult struct {
	status int
	signed bool
	err    error
}

// plain sends one request to the plain service.
func (w *world) plain(g *gateway, method, path, id string) plainResult {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("docked " + id)
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+g.caller+path, body)
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set(headerDeadline, "3000")
	r.Header.Set("Authorization", "Token "+callerKey)
	r.Header.Set("Accept-Encoding", "identity")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return plainResult{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return plainResult{status: resp.StatusCode, signed: resp.Header.Get(headerSignature) != "", err: err}
}

// recordOfAnotherWriter puts an entry that lacks fields among those of the replicas. It
// names the plain service and the address of an HTTP server that is no replica.
func recordOfAnotherWriter(root, dir string) (*world, error) {
	const (
		perSecond = 10
		calmTime  = 5 * time.Second
		loadTime  = 30 * time.Second
	)
	w, err := newWorld(dir, []string{"addis-a"})
	if err != nil {
		return nil, err
	}
	w.store.put("op", "config", w.config(7))
	if err := w.addReplicas(4, 100*time.Millisecond, nil); err != nil {
		return w, err
	}
	if err := w.addPlainReplicas(0, 3, 60*time.Millisecond); err != nil {
		return w, err
	}
	agent, err := w.startAgent()
	if err != nil {
		return w, err
	}
	if err := w.startGateways(root, 2); err != nil {
		return w, err
	}
	if err := w.waitReady(1); err != nil {
		return w, err
	}
	w.record.add("all gateways are ready")
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, denied, served := 0, 0, 0
	send := func(n int) {
		g, id := w.gateways[n%len(w.gateways)], fmt.Sprintf("%016x", rand.Uint64())
		method, path := http.MethodPost, unsafePath
		if n%4 == 3 {
			method, path = http.MethodGet, safePath
		}
		w.record.add("client sends %s %s %s to %s", method, path, id, g.name)
		result := w.plain(g, method, path, id)
		w.record.add("client got for %s: status %d, signed %t, error %v", id, result.status, result.signed, result.err)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if result.status == http.StatusOK {
			served++
		}
		own := !result.signed && result.status >= 300 && result.status < 500
		if own && !slices.Contains([]int{408, 421, 429}, result.status) {
			denied++
		}
	}
	began := time.Now()
	for n := 0; time.Since(began) < loadTime; n++ {
		if w.trouble && n == perSecond*int(calmTime.Seconds()) {
			w.record.add("another writer's entry agent-1 names the address %s", agent)
			w.store.put("servers", "agent-1", map[string]any{
				"service": yard, "address": agent, "zone": "addis-a", "state": "ready", "born": time.Now().UnixMilli(),
			})
		}
		clients.Go(func() { send(n) })
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	w.record.add("%d requests sent, %d answered with success, %d denied", sent, served, denied)
	if denied > 5+sent/500 {
		w.record.violation("DENIED: %d of %d proper requests got a 3xx or 4xx that no replica gave", denied, sent)
	}
	return w, nil
}
