//go:build review

package main

import (
	"context"
	"time"
)

// oddRecordAtALeadersAddress puts a record of another writer beside those of the
// replicas: it names an unknown service, and the address of a replica that leads an
// open group. Then a member of that group drains, as planned.
func oddRecordAtALeadersAddress(root, dir string) (*world, error) {
	w, err := newWorld(dir, []string{"addis-a"})
	if err != nil {
		return nil, err
	}
	w.store.put("op", "config", w.config(7))
	if err := w.addReplicas(8, 100*time.Millisecond, nil); err != nil {
		return w, err
	}
	if err := w.startGateways(root, 2); err != nil {
		return w, err
	}
	if err := w.waitReady(2); err != nil {
		return w, err
	}
	w.record.add("all gateways are ready, %d groups are open", len(w.openHeads()))
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	go w.load(ctx, 6, w.gateways)
	time.Sleep(15 * time.Second)

	heads := w.openHeads()
	if len(heads) == 0 {
		return w, errNotReady
	}
	head := heads[0]
	w.fleet.mu.Lock()
	member := w.fleet.replicas[head.group.members[1]]
	w.fleet.mu.Unlock()
	if w.trouble {
		w.record.add("another writer's record agent-1 names the address of %s", head.id)
		w.store.put("servers", "agent-1", map[string]any{
			"service": "host-agent", "address": head.addr, "zone": "addis-a", "version": "v1", "slots": 1,
			"state": "ready", fieldCold: 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(3 * time.Second)
	go member.drain(500 * time.Millisecond)
	<-ctx.Done()
	w.clients.Wait()
	return w, nil
}
