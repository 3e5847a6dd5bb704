//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// lostAnswersOfStreams loses the answers of a part of the requests that half of the
// replicas run, for 5 s at a time. The operator allows one replica for each request.
func lostAnswersOfStreams(root, dir string) (*world, error) {
	const (
		maxAttempts = 1
		allowed     = 3
		lossRate    = 0.03
		lossTime    = 5 * time.Second
		calmTime    = 5 * time.Second
	)
	w, err := newWorld(dir, []string{"addis-a", "addis-b", "addis-c"})
	if err != nil {
		return nil, err
	}
	w.maxAttempts = maxAttempts
	w.store.put("op", "config", w.config(7))
	random := rand.New(rand.NewPCG(8, 8))
	losing := false
	err = w.addReplicas(30, 60*time.Millisecond, func(i int, p *replica) {
		if i%2 == 0 {
			// The fleet's lock is held.
			p.losesAnswer = func() bool { return losing && random.Float64() < lossRate }
		}
	})
	if err != nil {
		return w, err
	}
	if err := w.startGateways(root, 1); err != nil {
		return w, err
	}
	if err := w.waitReady(9); err != nil {
		return w, err
	}
	w.record.add("all gateways are ready, %d groups are open", len(w.openHeads()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.load(ctx, 70, w.gateways)
	time.Sleep(calmTime)
	for range 6 {
		w.fleet.mu.Lock()
		losing = w.trouble
		w.fleet.mu.Unlock()
		time.Sleep(lossTime)
		w.fleet.mu.Lock()
		losing = false
		w.fleet.mu.Unlock()
		time.Sleep(calmTime)
	}
	cancel()
	w.clients.Wait()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	over := 0
	for id, replicas := range w.fleet.runs {
		if len(replicas) > maxAttempts {
			over++
			w.record.add("request %s ran on %d replicas", id, len(replicas))
		}
	}
	w.record.add("%d of %d requests ran on more than %d replicas", over, len(w.fleet.runs), maxAttempts)
	if over > allowed {
		w.record.violation("BUDGET: %d requests ran on more than %d replicas", over, maxAttempts)
	}
	return w, nil
}
