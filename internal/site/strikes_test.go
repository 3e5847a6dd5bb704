package site_test

import (
	"fmt"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// draw returns a share of the servers that run.
func (s *site) draw(share float64) []string {
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

// drawGone returns a share of the servers, to end for good.
func (s *site) drawGone(share float64) []string {
	var ids []string
	perZone := map[string]int{}
	for _, id := range s.draw(share) {
		s.mu.Lock()
		zone := s.hosts.ByID[id].Zone
		s.mu.Unlock()
		if perZone[zone]++; perZone[zone] <= goneAtMost {
			ids = append(ids, id)
		}
	}
	return ids
}

// crashMembers kills members of open groups, some of them silently.
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

// revive restarts all servers that are down.
func (s *site) revive() {
	s.mu.Lock()
	ids := s.hosts.IDs()
	s.mu.Unlock()
	for _, id := range ids {
		s.restart(id, false)
	}
}

// inStruckZone returns the servers of that zone.
func (s *site) inStruckZone() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, id := range s.hosts.IDs() {
		if s.hosts.ByID[id].Zone == struckZone {
			ids = append(ids, id)
		}
	}
	return ids
}

// entriesDown kills all entries and starts them at the end.
func (s *site) entriesDown(power bool) {
	for _, m := range s.allMachines() {
		s.kill(m, power)
	}
}

func (s *site) entriesUp() {
	for _, m := range s.allMachines() {
		if m.current() == nil {
			s.start(m)
		}
	}
}

// leave lets a server drain and go.
func (s *site) leave(id string, drain time.Duration) {
	s.mu.Lock()
	s.hosts.ByID[id].Leaving = true
	s.mu.Unlock()
	s.wg.Go(func() {
		time.Sleep(300 * time.Millisecond) // the store tells the entries
		s.mu.Lock()
		told := !s.storeOut && s.calm
		s.mu.Unlock()
		if told {
			s.witness.serverLeaves(id)
		}
		time.Sleep(drain)
		s.crash(id, false)
	})
}

func (s *site) newHost(like string) {
	s.mu.Lock()
	old := s.hosts.ByID[like]
	s.lastHost++
	h := standin.Host{
		ID: fmt.Sprintf("%s-new%d", like, s.lastHost), Service: old.Service, Zone: old.Zone, Domain: old.Domain, Slots: old.Slots,
	}
	s.mu.Unlock()
	s.addHost(h)
}

func (m *machine) jump(d time.Duration) {
	m.jumped.Add(int64(d))
}

func (s *site) setOrders(f orderFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = f
}

// oneGroup returns members of a group that serves.
func (s *site) oneGroup(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.hosts.IDs() {
		if m := s.hosts.ByID[id].Member; m != nil && len(m.Members) >= n && m.Members[0] == id {
			return m.Members[:n]
		}
	}
	return nil
}

// reuse crashes a server for good and starts another one, of the other
// service, at its address.
func (s *site) reuse(id string) {
	s.crash(id, false)
	s.mu.Lock()
	old := s.hosts.ByID[id]
	s.lastHost++
	h := standin.Host{ID: fmt.Sprintf("%s-heir%d", id, s.lastHost), Service: records, Address: old.Address, Zone: old.Zone, Slots: 8}
	if old.Service == records {
		h.Service, h.Domain, h.Slots = streams, old.Zone+"-0", 6
	}
	s.mu.Unlock()
	s.addHost(h)
}
