//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// preemptedDuringShutdown sends SIGTERM to a gateway while streams are under way. The
// memory of the only replica group runs out, so it preempts its newest request for
// longer than a second, and then goes on with it.
func preemptedDuringShutdown(root, dir string) (*world, error) {
	const prompt, shortPause = 3000, 400 * time.Millisecond
	w, err := newWorld(dir, []string{"addis-a"})
	if err != nil {
		return nil, err
	}
	if w.trouble {
		w.memory = 2*prompt + 60
	}
	w.store.put("op", "config", w.config(7))
	if err := w.addReplicas(3, 100*time.Millisecond, nil); err != nil {
		return w, err
	}
	if err := w.startGateways(root, 2); err != nil {
		return w, err
	}
	if err := w.waitReady(1); err != nil {
		return w, err
	}
	w.record.add("all gateways are ready, %d groups are open", len(w.openHeads()))
	time.Sleep(3 * time.Second)

	for _, g := range w.gateways {
		var streams sync.WaitGroup
		send := func(name string) {
			id := fmt.Sprintf("%016x", rand.Uint64())
			w.record.add("client sends %s stream %s to %s", name, id, g.name)
			sent := time.Now()
			result := w.stream(g, id, prompt)
			w.record.add("client got for %s: status %d, %d events, complete %t, error %v, after %.1f s",
				id, result.status, len(result.events), result.complete, result.err, time.Since(sent).Seconds())
			if result.status == 200 && (!result.complete || len(result.events) != streamEvents) {
				w.record.violation("LOST: the channel of %s ends after %d of %d events, %.1f s after it was sent", id, len(result.events), streamEvents, time.Since(sent).Seconds())
			}
		}
		streams.Go(func() { send("the older") })
		time.Sleep(shortPause)
		streams.Go(func() { send("the newer") })
		time.Sleep(300 * time.Millisecond)
		w.record.add("SIGTERM to %s", g.name)
		if err := g.signal(syscall.SIGTERM); err != nil {
			return w, err
		}
		streams.Wait()
		select {
		case <-g.exited:
			w.record.add("%s has ended by itself", g.name)
		case <-time.After(9 * time.Second):
			g.stop() // the platform's SIGKILL after the grace period
		}
		if err := g.start(); err != nil {
			return w, err
		}
		if err := w.waitReady(1); err != nil {
			return w, err
		}
	}
	return w, nil
}
