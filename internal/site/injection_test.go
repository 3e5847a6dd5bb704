package site_test

import (
	"fmt"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// drawServers returns a random share of the running servers.
func (s *site) drawServers(share float64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, id := range s.hosts.IDs() {
		if s.hosts.ByID[id].Alive && s.rng.Float64() < share {
			ids = append(ids, id)
		}
	}
	return ids
}

// drawForRemoval returns a random share of the running servers, at most
// maxRemovedPerZone in each zone.
func (s *site) drawForRemoval(share float64) []string {
	var ids []string
	perZone := map[string]int{}
	for _, id := range s.drawServers(share) {
		s.mu.Lock()
		zone := s.hosts.ByID[id].Zone
		s.mu.Unlock()
		if perZone[zone]++; perZone[zone] <= maxRemovedPerZone {
			ids = append(ids, id)
		}
	}
	return ids
}

// crashMembers crashes up to n random group members, every other one silently.
func (s *site) crashMembers(n int) {
	s.mu.Lock()
	var ids []string
	for _, id := range s.hosts.IDs() {
		if h := s.hosts.ByID[id]; h.Alive && h.Member != nil && len(ids) < n && s.rng.IntN(3) == 0 {
			ids = append(ids, id)
		}
	}
	s.mu.Unlock()
	for i, id := range ids {
		s.crash(id, i%2 == 0)
	}
}

// restartStopped restarts all stopped servers.
func (s *site) restartStopped() {
	s.mu.Lock()
	ids := s.hosts.IDs()
	s.mu.Unlock()
	for _, id := range ids {
		s.restart(id, false)
	}
}

// serversInFaultyZone returns the IDs of all servers of faultyZone.
func (s *site) serversInFaultyZone() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, id := range s.hosts.IDs() {
		if s.hosts.ByID[id].Zone == faultyZone {
			ids = append(ids, id)
		}
	}
	return ids
}

// killEntries kills all entries. startEntries starts them again.
func (s *site) killEntries(powerLoss bool) {
	for _, m := range s.allMachines() {
		s.kill(m, powerLoss)
	}
}

func (s *site) startEntries() {
	for _, m := range s.allMachines() {
		if m.current() == nil {
			s.start(m)
		}
	}
}

// drainServer marks a server as leaving and stops it after the drain time.
func (s *site) drainServer(id string, drain time.Duration) {
	s.mu.Lock()
	s.hosts.ByID[id].Leaving = true
	s.mu.Unlock()
	s.wg.Go(func() {
		time.Sleep(300 * time.Millisecond) // the entries receive the change from the store
		s.mu.Lock()
		observed := !s.storeUnavailable && s.plannedOnly
		s.mu.Unlock()
		if observed {
			s.checker.serverDraining(id)
		}
		time.Sleep(drain)
		s.crash(id, false)
	})
}

func (s *site) cloneHost(template string) {
	s.mu.Lock()
	old := s.hosts.ByID[template]
	s.lastHostNumber++
	h := standin.Host{
		ID: fmt.Sprintf("%s-new%d", template, s.lastHostNumber), Service: old.Service, Zone: old.Zone, Domain: old.Domain, Slots: old.Slots,
	}
	s.mu.Unlock()
	s.addHost(h)
}

func (m *machine) jumpClock(d time.Duration) {
	m.clockOffset.Add(int64(d))
}

func (s *site) setOrderFaults(f orderFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderFaults = f
}

// groupMembers returns the first n members of one group.
func (s *site) groupMembers(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.hosts.IDs() {
		if m := s.hosts.ByID[id].Member; m != nil && len(m.Members) >= n && m.Members[0] == id {
			return m.Members[:n]
		}
	}
	return nil
}

// reuseAddress crashes a server for good and starts a server of the other
// service at its address.
func (s *site) reuseAddress(id string) {
	s.crash(id, false)
	s.mu.Lock()
	old := s.hosts.ByID[id]
	s.lastHostNumber++
	h := standin.Host{ID: fmt.Sprintf("%s-heir%d", id, s.lastHostNumber), Service: recordService, Address: old.Address, Zone: old.Zone, Slots: 8}
	if old.Service == recordService {
		h.Service, h.Domain, h.Slots = streamService, old.Zone+"-0", 6
	}
	s.mu.Unlock()
	s.addHost(h)
}
