package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	cutReplicas = 6
	cutFor      = 8 * time.Second
	cutEntries  = 3
)

// cutReplica plays a replica that is partitioned from the store and from all entries,
// and comes back as it was. It is the only member of its group.
func cutReplica(r *run) (bool, error) {
	r.store.put(tableOperators, configKey, operatorConfig(7,
		[]any{route("notes", "/notes/", "streaming", serviceModel, 6000)}, []any{modelServiceConfig(1)}))
	peers := map[string]*gangReplica{}
	var replicas []*gangReplica
	for i := range cutReplicas {
		g := &gangReplica{
			store: r.store, rec: r.rec, id: fmt.Sprintf("i-%04d", i), zone: "a", domain: "a-0", peers: peers,
			loading: func() time.Duration { return loadTime / 10 },
		}
		if err := g.start(); err != nil {
			return false, err
		}
		peers[g.id] = g
		replicas = append(replicas, g)
	}
	stop := make(chan struct{})
	defer close(stop)
	go beat(replicas, stop)
	r.addGateways("a", []string{"a"}, cutEntries)
	if err := r.startAll(); err != nil {
		return false, err
	}
	if err := awaitReady(r.list, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	c := newCaller(r.rec)
	r.rec.sayf("%d replicas lead an open group; %s", openHeads(replicas), measure(c, r.list, 4*time.Second))
	var head *gangReplica
	for _, g := range replicas {
		g.mu.Lock()
		if g.member != nil && g.member.state == "open" && g.member.members[0] == g.id {
			head = g
		}
		g.mu.Unlock()
	}
	if head == nil {
		return false, errors.New("no group is open")
	}
	if r.trouble {
		r.rec.sayf("replica %s, the head of an open group, is partitioned for %s", head.id, cutFor)
		head.setCut(true)
		time.AfterFunc(3*heartbeatMillis*time.Millisecond, func() { r.store.remove(tableServers, head.id) })
	}
	during := measure(c, r.list, cutFor)
	if r.trouble {
		head.setCut(false)
		head.publish()
		r.rec.sayf("the partition has ended")
	}
	after := measure(c, r.list, 12*time.Second)
	r.rec.sayf("during: %s; after: %s", during, after)
	n := 0
	for _, g := range replicas {
		g.mu.Lock()
		for _, v := range g.violations {
			r.rec.sayf("%s", v)
			n++
		}
		g.mu.Unlock()
	}
	return n > 0, nil
}
