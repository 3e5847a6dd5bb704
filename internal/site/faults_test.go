package site_test

import (
	"fmt"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// faultDuration is how long a fault with a duration lasts.
const faultDuration = 5 * time.Second

// faultCase is a fault or a planned operation. inject starts it and returns the
// function that ends it.
type faultCase struct {
	name   string
	inject func(s *site) (end func())
}

func noop() {}

// storeFaultCase returns a case in which the store has the faults.
func storeFaultCase(name string, f standin.StoreFaults) faultCase {
	return faultCase{name, func(s *site) func() {
		s.setStoreFaults(f)
		return func() { s.setStoreFaults(standin.StoreFaults{}) }
	}}
}

// serverFaultCase returns a case in which a share of the backend servers has
// the faults.
func serverFaultCase(name string, share float64, f serverFaults) faultCase {
	return faultCase{name, func(s *site) func() {
		ids := s.drawServers(share)
		for _, id := range ids {
			s.setFaults(id, f)
		}
		return func() {
			for _, id := range ids {
				s.setFaults(id, serverFaults{})
			}
		}
	}}
}

// afterLeaseWrite returns a case that injects a fault into a zone controller
// right after its next write of the lease or of group records.
func afterLeaseWrite(name string, inject func(s *site, m *machine)) faultCase {
	return faultCase{name, func(s *site) func() {
		m := s.controllerOf("a")
		if m == nil {
			return noop
		}
		m.mu.Lock()
		m.afterLeaseWrite = func() { inject(s, m) }
		m.mu.Unlock()
		s.crashMembers(2)
		return func() {
			s.restartStopped()
			if m.current() == nil {
				s.start(m)
			}
		}
	}}
}

// maxRemovedPerZone limits the servers of a zone that one case removes for good.
// With more, no domain might keep enough servers for a group of the larger model.
const maxRemovedPerZone = 2

// faultyZone is the zone that is partitioned, lost or evacuated.
const faultyZone = "b"

// plannedCases returns the planned operations. Invariants with a time bound are
// checked strictly while only these are injected.
func plannedCases() []faultCase {
	return []faultCase{
		{"release", func(s *site) func() {
			ids := s.drawServers(0.4)
			s.wg.Go(func() {
				for _, id := range ids {
					s.cloneHost(id)
					s.drainServer(id, 3*time.Second)
					time.Sleep(400 * time.Millisecond)
				}
			})
			return noop
		}},
		{"scale-in", func(s *site) func() {
			for _, id := range s.drawForRemoval(0.15) {
				s.drainServer(id, 3*time.Second)
			}
			return noop
		}},
		{"scale-out", func(s *site) func() {
			for _, id := range s.drawServers(0.3) {
				s.cloneHost(id)
			}
			return noop
		}},
		{"entries stop by signal and start again", func(s *site) func() {
			s.wg.Go(func() {
				for _, m := range s.allMachines() {
					s.shutDown(m)
					s.start(m)
				}
			})
			return noop
		}},
		{"zone evacuated", func(s *site) func() {
			s.store.Put(operatorTable, evacuationPrefix+faultyZone, []byte("{}"))
			s.mu.Lock()
			plannedOnly := s.plannedOnly
			s.mu.Unlock()
			if plannedOnly {
				s.checker.zoneEvacuated(faultyZone, true)
				time.Sleep(evacuationGrace) // the checker reports requests that arrive after the bound
			}
			return func() {
				s.checker.zoneEvacuated(faultyZone, false)
				s.store.Delete(operatorTable, evacuationPrefix+faultyZone)
			}
		}},
		{"configurations in quick succession", func(s *site) func() {
			for range 30 {
				s.changeConfig(func(c *routes.Config) { c.Limits.BodyBytes++ })
				time.Sleep(20 * time.Millisecond)
			}
			return noop
		}},
		{"large configuration", func(s *site) func() {
			s.changeConfig(func(c *routes.Config) {
				for i := range 1000 {
					c.Routes = append(c.Routes, routes.Route{
						Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/x/", Kind: routes.Safe, MaxAttempts: 1,
						Timeout: time.Second, Split: []routes.TrafficShare{{Service: recordService, Weight: 1}},
					})
				}
			})
			return noop
		}},
		{"keys revoked", func(s *site) func() {
			s.setRevocableKeys()
			time.Sleep(revocation)
			return func() { s.setRevocableKeys("k-south") }
		}},
		{"callers leave", func(s *site) func() {
			s.callers.setBehaviour(0.5, 200*time.Millisecond, 0)
			return func() { s.callers.setBehaviour(0, 0, 0) }
		}},
		{"callers retry at once", func(s *site) func() {
			s.callers.setBehaviour(0, 0, 1)
			return func() { s.callers.setBehaviour(0, 0, 0) }
		}},
	}
}

func faultCases() []faultCase {
	return append(plannedCases(), append(storeFaultCases(), append(machineFaultCases(), serverFaultCases()...)...)...)
}

func storeFaultCases() []faultCase {
	return []faultCase{
		storeFaultCase("store down", standin.StoreFaults{Down: true}),
		storeFaultCase("store silent", standin.StoreFaults{Unresponsive: true}),
		storeFaultCase("store slow", standin.StoreFaults{Delay: 150 * time.Millisecond}),
		storeFaultCase("store refuses some entries", standin.StoreFaults{RejectedEntries: map[string]bool{"a-1": true, "b-2": true}}),
		storeFaultCase("store loses answers", standin.StoreFaults{LoseResponses: true}),
		storeFaultCase("store writes late", standin.StoreFaults{LoseResponses: true, ApplyDelay: 3 * time.Second}),
		{"store down without history", func(s *site) func() {
			s.setStoreFaults(standin.StoreFaults{Down: true})
			return func() {
				s.changeConfig(func(*routes.Config) {})
				s.store.CompactHistory()
				s.setStoreFaults(standin.StoreFaults{})
			}
		}},
		{"keys revoked while an entry can't read", func(s *site) func() {
			s.setStoreFaults(standin.StoreFaults{RejectedEntries: map[string]bool{"a-1": true, "b-1": true}})
			s.setRevocableKeys()
			time.Sleep(revocation) // the checker reports requests that arrive after the bound
			return func() {
				s.setStoreFaults(standin.StoreFaults{})
				s.setRevocableKeys("k-south")
			}
		}},
	}
}

func machineFaultCases() []faultCase {
	return []faultCase{
		afterLeaseWrite("steward killed after a write", func(s *site, m *machine) { s.kill(m, false) }),
		afterLeaseWrite("steward without power after a write", func(s *site, m *machine) { s.kill(m, true) }),
		afterLeaseWrite("steward frozen after a write", func(s *site, m *machine) { s.freeze(m, 6*time.Second) }),
		afterLeaseWrite("steward cut off after a write", func(s *site, m *machine) {
			s.setStoreFaults(standin.StoreFaults{RejectedEntries: map[string]bool{m.name: true}})
			s.wg.Go(func() {
				time.Sleep(faultDuration)
				s.setStoreFaults(standin.StoreFaults{})
			})
		}),
		afterLeaseWrite("steward replaced after a write", func(s *site, m *machine) {
			s.kill(m, true)
			s.wg.Go(func() {
				time.Sleep(time.Second)
				s.mu.Lock()
				n := s.newMachine(fmt.Sprintf("%s-%d", m.zone, len(s.machines)+1), m.zone)
				s.machines = append(s.machines, n)
				s.mu.Unlock()
				s.start(n)
			})
		}),
		{"all entries killed after a change", func(s *site) func() {
			s.changeConfig(func(*routes.Config) {})
			s.killEntries(false)
			return s.startEntries
		}},
		{"all entries without power", func(s *site) func() {
			s.killEntries(true)
			return s.startEntries
		}},
		{"power loss of everything", func(s *site) func() {
			s.crashMembers(1) // so that orders are in flight
			time.Sleep(300 * time.Millisecond)
			s.killEntries(true)
			for _, id := range s.drawServers(1) {
				s.crash(id, true)
			}
			return func() {
				s.startEntries()
				s.restartStopped()
			}
		}},
		{"zone cut", func(s *site) func() {
			s.network.Partition("a", faultyZone)
			s.setStoreFaults(standin.StoreFaults{RejectedEntries: map[string]bool{"b-1": true, "b-2": true}})
			for _, id := range s.serversInFaultyZone() {
				s.setFaults(id, serverFaults{cut: true})
			}
			return func() {
				s.network.EndPartition("a", faultyZone)
				s.setStoreFaults(standin.StoreFaults{})
				for _, id := range s.serversInFaultyZone() {
					s.setFaults(id, serverFaults{})
				}
			}
		}},
		{"zone lost", func(s *site) func() {
			for _, m := range s.allMachines() {
				if m.zone == faultyZone {
					s.kill(m, true)
				}
			}
			for _, id := range s.serversInFaultyZone() {
				s.crash(id, true)
			}
			return func() {
				s.startEntries()
				for _, id := range s.serversInFaultyZone() {
					s.restart(id, true)
				}
			}
		}},
		{"clock jump", func(s *site) func() {
			for i, m := range s.allMachines() {
				if i%2 == 0 {
					m.jumpClock(6 * time.Second)
				}
			}
			return noop
		}},
		{"silent connections", func(s *site) func() {
			s.mu.Lock()
			for _, h := range s.hosts.ByID {
				s.network.Blackhole(h.Address)
			}
			s.mu.Unlock()
			for _, m := range s.allMachines() {
				s.network.Blackhole(m.host + ":82")
			}
			return noop
		}},
		{"links between zones lose packets", func(s *site) func() {
			s.network.Delay("a", faultyZone, func() time.Duration {
				if s.chance(0.03) {
					return time.Duration(200+s.intn(800)) * time.Millisecond // TCP retransmission after a timeout
				}
				return 0
			})
			return func() { s.network.Delay("a", faultyZone, nil) }
		}},
		{"connections go silent again and again", func(s *site) func() {
			s.wg.Go(func() {
				for range 10 {
					for _, id := range s.drawServers(0.2) {
						s.mu.Lock()
						s.network.Blackhole(s.hosts.ByID[id].Address)
						s.mu.Unlock()
					}
					time.Sleep(faultDuration / 10)
				}
			})
			return noop
		}},
	}
}

func serverFaultCases() []faultCase {
	return []faultCase{
		{"members killed", func(s *site) func() {
			s.crashMembers(4)
			return s.restartStopped
		}},
		{"two members of one group silent", func(s *site) func() {
			for _, id := range s.groupMembers(2) {
				s.crash(id, true)
			}
			return s.restartStopped
		}},
		{"domain silent", func(s *site) func() {
			s.mu.Lock()
			ids := s.hosts.IDs()
			s.mu.Unlock()
			for _, id := range ids {
				s.mu.Lock()
				affected := s.hosts.ByID[id].Domain == "a-0"
				s.mu.Unlock()
				if affected {
					s.crash(id, true)
				}
			}
			return s.restartStopped
		}},
		serverFaultCase("servers silent", 0.15, serverFaults{stalled: true}),
		serverFaultCase("servers slow", 0.15, serverFaults{slow: 4}),
		serverFaultCase("servers fail with good reports", 0.15, serverFaults{errorShare: 0.4}),
		serverFaultCase("servers cut from the store", 0.2, serverFaults{cut: true}),
		serverFaultCase("answers lost", 1, serverFaults{loseResponse: 0.8}),
		serverFaultCase("answers garbled", 0.5, serverFaults{corrupt: 0.5}),
		{"zone returns cold", func(s *site) func() {
			for _, id := range s.serversInFaultyZone() {
				s.crash(id, true)
			}
			return func() {
				for _, id := range s.serversInFaultyZone() {
					s.restart(id, true)
				}
			}
		}},
		{"orders late", func(s *site) func() {
			s.setOrderFaults(orderFaults{late: 0.5, lateBy: 8 * time.Second})
			s.crashMembers(2)
			return func() {
				s.setOrderFaults(orderFaults{})
				s.restartStopped()
			}
		}},
		{"orders lost", func(s *site) func() {
			s.setOrderFaults(orderFaults{lost: 0.4})
			s.crashMembers(2)
			return func() {
				s.setOrderFaults(orderFaults{})
				s.restartStopped()
			}
		}},
		{"addresses used again", func(s *site) func() {
			for _, id := range s.drawForRemoval(0.15) {
				s.reuseAddress(id)
			}
			return noop
		}},
	}
}
