package site_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var siteDrain = flag.Duration("site-drain", 0, "drain time of the entries of all sites; 0 switches the use of servers without records off")

const drainTime = 3 * time.Second

// checkRecord checks that a request doesn't reach a server later than the drain time
// after its record went. The caller holds s.mu.
func (s *site) checkRecord(request string, srv *server) {
	if gone := time.Since(srv.goneAt); s.drain > 0 && !srv.goneAt.IsZero() && gone > s.drain {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		s.checker.addViolation("DRAIN: request %s reached server %s %s after its record went", request, srv.id, gone)
	}
}

// Two of three servers of a zone's groups lose the store for 8 or 12 s, so that their records
// go, while requests still reach them. Without a drain time all groups of the zone close.
// With one they all go on, also in zones with relays and if the controller is killed.
func TestPatternServersThatLoseTheStoreGoOnServing(t *testing.T) {
	for name, entries := range siteSizes {
		for _, kill := range []bool{false, true} {
			for _, drain := range []time.Duration{0, drainTime} {
				t.Run(fmt.Sprintf("%s, controller killed %v, drain %s", name, kill, drain), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSiteOf(t, *seed, entries)
						defer s.stop()
						s.drain = drain
						s.run()
						time.Sleep(2 * time.Second)
						before := len(s.openGroups())
						for i := range 8 {
							s.setFaults(fmt.Sprintf("n-a-%d", i), serverFaults{cut: true})
						}
						from := time.Now()
						fewest := before
						cut := 80
						if kill {
							cut = 120 // the next controller decides from 8 to 9 s on
						}
						for tenth := range 220 {
							if tenth == 30 && kill {
								s.kill(s.controllerOf("a"), false)
							}
							if tenth == cut {
								for i := range 8 {
									s.setFaults(fmt.Sprintf("n-a-%d", i), serverFaults{})
								}
							}
							time.Sleep(100 * time.Millisecond)
							fewest = min(fewest, len(s.openGroups()))
						}
						share, failures := s.callers.servedShare(from, from.Add(10*time.Second), anyResult)
						after := len(s.openGroups())
						s.stop()
						t.Logf("groups before %d, fewest %d, after %d; served %.4f", before, fewest, after, share)
						require.Empty(t, s.violations())
						if drain == 0 {
							require.Less(t, fewest, before, "the pattern shows the fault")
							return
						}
						require.Equal(t, before, fewest)
						require.GreaterOrEqual(t, share, minServedShare, failures)
						require.Positive(t, s.checker.countLogged(424), "groups are kept without records")
					})
				})
			}
		}
	}
}
