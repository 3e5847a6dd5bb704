package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	coldPerSecond = 28.0
	coldOvershoot = 1.5
	coldSlack     = 5
	// coldCrash is the number of requests in one second beyond which a cold replica
	// crashes: twice its rate, which is above the bound.
	coldCrash  = 56
	coldFor    = 3 * time.Second
	coldOutage = 4 * time.Second
	// perZone is the number of requests per second of each zone's clients.
	perZone  = 64
	coldWork = 40 * time.Millisecond
)

// coldReplica plays a replica that turns cold, in the trouble while the platform's
// store is away.
func coldReplica(r *run) (bool, error) {
	zones := []string{"a", "b", "c"}
	bound := int(coldPerSecond*coldOvershoot) + coldSlack
	r.store.put(tableOperators, configKey, operatorConfig(7, []any{
		route("dock", "/dock/", "unsafe", servicePlain, 1500), route("bays", "/bays/", "safe", servicePlain, 1500),
	}, []any{plainServiceConfig(coldPerSecond)}))
	replicas, err := r.startPlain(zones, 2, func(p *plainReplica) { p.work, p.coldLimit = coldWork, coldCrash })
	if err != nil {
		return false, err
	}
	c := newCaller(r.rec)
	results := make(chan coldTotals, len(zones))
	for i := range zones {
		go func() { results <- callPlain(c, r.list[2*i:2*i+2], 12*time.Second) }()
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.rec.sayf("the store answers nothing for %s", coldOutage)
		r.store.setSilent(true)
		time.AfterFunc(coldOutage, func() {
			r.store.setSilent(false)
			r.rec.sayf("the store answers again")
		})
	}
	time.Sleep(time.Second)
	r.rec.sayf("replica %s turns cold for %s", replicas[0].id, coldFor)
	replicas[0].turnCold(coldFor)
	var total coldTotals
	for range zones {
		total.add(<-results)
	}
	p := replicas[0]
	p.mu.Lock()
	defer p.mu.Unlock()
	r.rec.sayf("the cold replica got %d requests in one second; the bound is %d; it crashed: %t", p.mostInOneSecond, bound, p.crashed)
	r.rec.sayf("%d requests sent; %d records without a success: statuses %v", total.sent, total.lost, total.statuses)
	return p.mostInOneSecond > bound, nil
}

// coldTotals counts the requests of plain clients.
type coldTotals struct {
	sent int
	// lost counts the records that were answered with a status that promises nothing,
	// or not at all.
	lost     int
	statuses map[int]int
}

func (t *coldTotals) add(o coldTotals) {
	t.sent += o.sent
	t.lost += o.lost
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	for status, n := range o.statuses {
		t.statuses[status] += n
	}
}

// callPlain sends records and look-ups to the entries of a zone, evenly over time.
func callPlain(c *caller, list []*gatewayProcess, d time.Duration) coldTotals {
	t := coldTotals{statuses: map[int]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / perZone)
	defer ticker.Stop()
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		g := list[i%len(list)]
		wg.Go(func() {
			var a answer
			record := i%3 != 2 // dock records are the larger part
			if record {
				body := fmt.Sprintf("trolley %s %d", g.name, i)
				a = c.do(g.address, http.MethodPost, "/dock/record", 3*time.Second, nil, strings.NewReader(body))
			} else {
				a = c.do(g.address, http.MethodGet, "/bays/count", 3*time.Second, nil, nil)
			}
			mu.Lock()
			defer mu.Unlock()
			t.sent++
			t.statuses[a.status]++
			if record && a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
				t.lost++
			}
		})
		<-ticker.C
	}
	wg.Wait()
	return t
}
