//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// largeRecords lets another writer put entries among those of the replicas, each within
// the size of a row. Then the replicas of the plain service are replaced one after the
// other, as planned.
func largeRecords(root, dir string) (*world, error) {
	const (
		entries  = 80
		rowBytes = 65536
		interval = 2600 * time.Millisecond
		linger   = 7 * time.Second
	)
	w, err := newWorld(dir, []string{"addis-a"})
	if err != nil {
		return nil, err
	}
	w.store.put("op", "config", w.config(7))
	if err := w.addPlainReplicas(0, 3, 60*time.Millisecond); err != nil {
		return w, err
	}
	if err := w.startGateways(root, 2); err != nil {
		return w, err
	}
	if err := w.waitReady(0); err != nil {
		return w, err
	}
	w.record.add("all gateways are ready")
	sent, served := 0, 0
	send := func() {
		g, id := w.gateways[sent%len(w.gateways)], fmt.Sprintf("%016x", rand.Uint64())
		w.record.add("client sends GET %s to %s", id, g.name)
		result := w.plain(g, http.MethodGet, safePath, id)
		w.record.add("client got for %s: status %d, signed %t, error %v", id, result.status, result.signed, result.err)
		sent++
		if result.status == http.StatusOK && result.signed {
			served++
		}
	}
	send()
	if w.trouble {
		w.record.add("another writer puts %d entries of nearly %d bytes", entries, rowBytes)
		note := strings.Repeat("n", rowBytes-100)
		for i := range entries {
			w.store.put("servers", fmt.Sprintf("agent-%02d", i), map[string]any{"note": note})
			time.Sleep(3 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		if err := w.addPlainReplicas(3+i, 1, 60*time.Millisecond); err != nil {
			return w, err
		}
		time.Sleep(time.Second)
		send()
		w.fleet.mu.Lock()
		old := w.fleet.replicas[fmt.Sprintf("i-%08x", 0x2b3a4100+i)]
		w.fleet.mu.Unlock()
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			old.drain(linger)
		}()
		for range 3 {
			time.Sleep(interval)
			send()
		}
		<-drained
	}
	w.record.add("%d requests sent, %d served; all replicas have been replaced", sent, served)
	sent, served = 0, 0
	for range 6 {
		send()
		time.Sleep(interval / 2)
	}
	w.record.add("afterwards: %d requests sent, %d served", sent, served)
	return w, nil
}
