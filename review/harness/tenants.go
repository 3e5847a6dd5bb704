package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	revocationBound = 5 * time.Second
	// revokedCalls is the number of requests after the bound, one a second.
	revokedCalls = 8
)

// lastTenant plays an operator who takes the only tenant of a deployment away, and
// calls with its key later than the revocation bound after that.
func lastTenant(r *run) (bool, error) {
	routes := []any{
		route("dock", "/dock/", "unsafe", servicePlain, 1500), route("bays", "/bays/", "safe", servicePlain, 1500),
	}
	config := operatorConfig(7, routes, []any{plainServiceConfig(0)})
	r.store.put(tableOperators, configKey, config)
	zones := []string{"a", "b", "c"}
	if _, err := r.startPlain(zones, 1, func(*plainReplica) {}); err != nil {
		return false, err
	}
	c := newCaller(r.rec)
	before := 0
	for _, g := range r.list {
		if c.do(g.address, http.MethodPost, "/dock/record", 3*time.Second, nil, strings.NewReader("before")).status == http.StatusOK {
			before++
		}
	}
	r.rec.sayf("%d of %d entries serve the key while the tenant is there", before, len(r.list))
	if r.trouble {
		config["version"], config["tenants"] = 9, []any{}
		r.store.put(tableOperators, configKey, config)
		r.rec.sayf("the store has confirmed a configuration without the tenant and its keys")
	}
	time.Sleep(revocationBound + time.Second)
	ran, statuses := 0, map[int]int{}
	for i := range revokedCalls {
		a := c.do(r.list[i%len(r.list)].address, http.MethodPost, "/dock/record", 3*time.Second, nil, strings.NewReader("after"))
		statuses[a.status]++
		if a.status == http.StatusOK && a.signed {
			ran++
		}
		time.Sleep(500 * time.Millisecond)
	}
	keyless := c.do(r.list[0].address, http.MethodPost, "/dock/record", 3*time.Second, map[string]string{"Authorization": ""}, strings.NewReader("after"))
	r.rec.sayf("a request without a key got status %d", keyless.status)
	r.rec.sayf("%d of %d requests with the key ran later than the bound (statuses %v)", ran, revokedCalls, statuses)
	return r.trouble && ran > 0, nil
}
