package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// powerReplicas of a zone form 52 groups of two, with a fifth as spares.
	powerReplicas     = 130
	replicasPerDomain = 10
	powerEntries      = 2
	powerDown         = 4 * time.Second
	// Replicas and machines come back within 1.5 s of the power.
	replicasWithin = 800 * time.Millisecond
	entriesAfter   = 1400 * time.Millisecond
	recovery       = 12 * time.Second
	measured       = 10 * time.Second
	callInterval   = 50 * time.Millisecond
	minimumShare   = 0.25
)

// powerLoss plays a power loss of a zone with many groups, and measures what is
// served later than the recovery time after the machines are back.
func powerLoss(r *run) (bool, error) {
	const n = powerReplicas
	routes, services := []any{route("notes", "/notes/", "streaming", serviceModel, 6000)}, []any{modelServiceConfig(2)}
	r.store.put(tableOperators, configKey, operatorConfig(7, routes, services))
	var served atomic.Bool
	loading := func() time.Duration {
		if served.Load() {
			return loadTime
		}
		return loadTime / 10
	}
	var replicas []*gangReplica
	for i := range n {
		g := &gangReplica{
			store: r.store, rec: r.rec, id: fmt.Sprintf("i-%04d", i), zone: "a", domain: fmt.Sprintf("a-%d", i/replicasPerDomain), loading: loading,
		}
		if err := g.start(); err != nil {
			return false, err
		}
		replicas = append(replicas, g)
	}
	stop := make(chan struct{})
	defer close(stop)
	go beat(replicas, stop)
	r.addGateways("a", []string{"a"}, powerEntries)
	if err := r.startAll(); err != nil {
		return false, err
	}
	if err := awaitReady(r.list, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second) // traffic starts ten seconds after the machines
	r.rec.sayf("%d of %d replicas lead an open group before the traffic", openHeads(replicas), n)
	served.Store(true)
	c := newCaller(r.rec)
	before := measure(c, r.list, 6*time.Second)
	r.rec.sayf("before the power loss: %s", before)
	if before.share() < minimumShare {
		return false, errors.New("too little was served before the disruption")
	}
	r.store.put(tableOperators, configKey, operatorConfig(9, routes, services))
	if r.trouble {
		if err := loseZone(r, replicas); err != nil {
			return false, err
		}
	}
	back := time.Now()
	r.rec.sayf("the machines are back")
	time.Sleep(recovery)
	after := measure(c, r.list, measured)
	r.rec.sayf("later than the recovery time after that: %s", after)
	r.rec.sayf("%d replicas lead an open group %.1f s after the machines were back; the store refused %d transactions as too large",
		openHeads(replicas), time.Since(back).Seconds(), r.store.refused)
	return after.share() < minimumShare, nil
}

// beat publishes the state of the replicas as often as they report.
func beat(replicas []*gangReplica, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatMillis * time.Millisecond / time.Duration(len(replicas))):
			replicas[i%len(replicas)].publish()
		}
	}
}

// loseZone takes the power from the machines and replicas of the zone, and returns
// once all of them run again.
func loseZone(r *run, replicas []*gangReplica) error {
	r.rec.sayf("the zone loses its power")
	for _, g := range r.list {
		g.kill()
	}
	for _, g := range replicas {
		g.stop()
	}
	time.Sleep(3 * heartbeatMillis * time.Millisecond) // their entries expire
	for _, g := range replicas {
		r.store.remove(tableServers, g.id)
	}
	time.Sleep(powerDown - 3*heartbeatMillis*time.Millisecond)
	r.rec.sayf("the power is back")
	back := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, len(replicas))
	for _, g := range replicas {
		wg.Go(func() {
			time.Sleep(rand.N(replicasWithin))
			if err := g.start(); err != nil {
				errs <- err
				return
			}
			g.publish()
		})
	}
	wg.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return err
	}
	r.rec.sayf("all replicas are back")
	time.Sleep(entriesAfter - time.Since(back))
	return r.startAll()
}

func openHeads(replicas []*gangReplica) int {
	n := 0
	for _, g := range replicas {
		g.mu.Lock()
		if g.alive && g.member != nil && g.member.state == "open" {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// outcome counts the requests of a measurement.
type outcome struct {
	sent, whole int
	statuses    map[int]int
}

func (o outcome) share() float64 { return float64(o.whole) / float64(max(o.sent, 1)) }

func (o outcome) String() string {
	return fmt.Sprintf("%d of %d requests served (statuses %v)", o.whole, o.sent, o.statuses)
}

// measure sends streams for a while and returns how many were served.
func measure(c *caller, list []*gatewayProcess, d time.Duration) outcome {
	o := outcome{statuses: map[int]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		g := list[i%len(list)]
		wg.Go(func() {
			a, whole := c.stream(g.address)
			mu.Lock()
			defer mu.Unlock()
			o.sent++
			o.statuses[a.status]++
			if whole {
				o.whole++
			}
		})
		time.Sleep(callInterval)
	}
	wg.Wait()
	return o
}
