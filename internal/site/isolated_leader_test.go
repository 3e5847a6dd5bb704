package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// Guards against a server that is ordered into another group while it leads an open
// one: it is the only member of its group, and was cut off from the store and all
// entries for longer than its record lasts. It also holds if the controller is killed
// meanwhile.
func TestALeaderOfOneThatWasIsolatedLeavesItsGroupFirst(t *testing.T) {
	for _, killController := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, *seed)
			defer s.stop()
			s.changeConfig(func(c *routes.Config) {
				for i := range c.Services[0].Engine.Models {
					c.Services[0].Engine.Models[i].GroupSize = 1
				}
			})
			s.run()
			time.Sleep(2 * time.Second)
			leader := s.openLeader("a")
			s.setFaults(leader, serverFaults{stalled: true})
			time.Sleep(4 * time.Second)
			if killController {
				s.kill(s.controllerOf("a"), false)
			}
			time.Sleep(4 * time.Second)
			s.setFaults(leader, serverFaults{})
			s.startEntries()
			from := time.Now()
			time.Sleep(12 * time.Second)
			share, failures := s.callers.servedShare(from, time.Now(), anyResult)
			s.stop()
			require.Empty(t, s.violations())
			require.GreaterOrEqual(t, share, minServedShare, failures)
		})
	}
}

// openLeader returns the ID of a server that leads an open group in the zone.
func (s *site) openLeader(zone string) string {
	open := s.openGroups()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.hosts.IDs() {
		h := s.hosts.ByID[id]
		if h.Zone == zone && h.Member != nil && h.Member.Group == open[0] {
			return id
		}
	}
	return ""
}
