package site_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// leaders returns the servers that lead an open group, and those of the plain
// service.
func (s *site) leaders(zone string) (leaders, plain []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.hosts.IDs() {
		h := s.hosts.ByID[id]
		switch {
		case h.Zone != zone || !h.Alive:
		case h.Service != streamService:
			plain = append(plain, id)
		case h.Member != nil && h.Member.Members[0] == id:
			leaders = append(leaders, id)
		}
	}
	return leaders, plain
}

// setLimits sets the limit that the servers name; 0 for none.
func (s *site) setLimits(ids []string, limit float64) {
	for _, id := range ids {
		s.setFaults(id, serverFaults{limit: limit})
	}
}

// siteSizes are the numbers of entries in a zone that limits are played with.
var siteSizes = map[string]int{"small zones": entriesPerZone, "zones with relays": relayedEntriesPerZone}

// playLimits runs a site with a number of requests every callEvery in each zone, plays
// once they are served, and requires that no invariant is violated.
func playLimits(t *testing.T, entries, load int, play func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSiteOf(t, *seed, entries)
		defer s.stop()
		s.run()
		s.callers.setLoad(load)
		time.Sleep(3 * time.Second)
		play(s)
		s.stop()
		require.Empty(t, s.violations())
	})
}

// allLeaders returns the servers of all zones that lead an open group.
func (s *site) allLeaders() []string {
	var all []string
	for _, zone := range zones {
		leaders, _ := s.leaders(zone)
		all = append(all, leaders...)
	}
	return all
}

// requireUse waits for d and requires that the servers get what they name meanwhile.
func (s *site) requireUse(d time.Duration, limited []string) {
	from := time.Now()
	time.Sleep(d)
	require.GreaterOrEqual(s.t, s.checker.limitUse(from, time.Now(), limited), minLimitUse)
}

// requireServed waits for six seconds and requires that the requests of the first four
// are served.
func (s *site) requireServed() {
	from := time.Now()
	time.Sleep(6 * time.Second)
	share, failures := s.callers.servedShare(from, from.Add(4*time.Second), func(result) bool { return true })
	require.GreaterOrEqual(s.t, share, minServedShare, failures)
}

// Guards against servers that get far more requests than the limit they name,
// because entries don't read it, or keep within it one by one and pass it together.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) {
	t.Parallel()
	for name, entries := range siteSizes {
		for _, limit := range []float64{1, 3.5} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				playLimits(t, entries, 5, func(s *site) {
					leaders, plain := s.leaders("a")
					others, _ := s.leaders("b")
					s.setLimits(leaders, limit)
					s.setLimits(others[:1], limit)
					s.setLimits(plain, limit)
					time.Sleep(14 * time.Second)
				})
			})
		}
	}
}

// Guards against shares of a limit that stay unused at entries without requests while
// others wait, and against a limit that outlives its last response.
func TestTheLimitsThatServersNameAreUsed(t *testing.T) {
	t.Parallel()
	for name, entries := range siteSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLimits(t, entries, 4, func(s *site) {
				limited := s.allLeaders()
				s.setLimits(limited, 1.5)
				time.Sleep(limitSettles)
				s.requireUse(10*time.Second, limited)
				s.setLimits(limited, 0)
				time.Sleep(2 * time.Second)
				s.requireServed()
			})
		})
	}
}

// Pattern: many entries that each send rarely, and servers without a limit that have
// room. A server with a limit must get what it names all the same, instead of idling
// while grants for it expire at entries without requests.
func TestLimitsAreUsedByEntriesThatRarelySend(t *testing.T) {
	t.Parallel()
	playLimits(t, 3*relayedEntriesPerZone, 2, func(s *site) {
		leaders, _ := s.leaders("a")
		byModel := map[string][]string{}
		s.mu.Lock()
		for _, id := range leaders {
			model := s.hosts.ByID[id].Member.Model
			byModel[model] = append(byModel[model], id)
		}
		s.mu.Unlock()
		var limited []string
		for _, ids := range byModel {
			require.Greater(s.t, len(ids), 1)
			limited = append(limited, ids[0])
		}
		s.setLimits(limited, 1)
		time.Sleep(limitSettles)
		s.requireUse(10*time.Second, limited)
	})
}

// entryDisturbances is the number of limitDisturbances that befall entries. They are
// played in zones with relays, the others in small zones.
const entryDisturbances = 7

var limitsEverywhere = flag.Bool("limits-everywhere", false, "play the disturbances beside limits in zones of both sizes")

// limitDisturbances are faults beside which servers name limits. They overlap with
// limits that change.
func limitDisturbances() []faultCase {
	lead := func(s *site) *machine { return s.relaysOf("a")[0] }
	killed := func(powerLoss bool) func(s *site) func() {
		return func(s *site) func() {
			s.kill(lead(s), powerLoss)
			time.Sleep(2 * time.Second)
			s.startEntries()
			return noop
		}
	}
	return []faultCase{
		{"the entry that allocates is killed", killed(false)},
		{"the entry that allocates loses power", killed(true)},
		{"the entry that allocates stays away", func(s *site) func() {
			s.kill(lead(s), true)
			return s.startEntries
		}},
		{"the entry that allocates is frozen", func(s *site) func() {
			s.freeze(lead(s), 3*time.Second)
			return noop
		}},
		{"the entry that allocates is stopped and started", func(s *site) func() {
			s.shutDown(lead(s))
			s.startEntries()
			return noop
		}},
		{"both first entries are killed", func(s *site) func() {
			for _, m := range s.relaysOf("a") {
				s.kill(m, false)
			}
			time.Sleep(time.Second)
			s.startEntries()
			return noop
		}},
		{"all entries are killed", func(s *site) func() {
			s.killEntries(false)
			time.Sleep(time.Second)
			s.startEntries()
			return noop
		}},
		{"the store is away", func(s *site) func() {
			s.setStoreFaults(standin.StoreFaults{Down: true, Delay: time.Millisecond})
			return func() { s.setStoreFaults(standin.StoreFaults{}) }
		}},
		{"the zones are cut off from each other", func(s *site) func() {
			s.network.Partition("a", "b")
			return func() { s.network.EndPartition("a", "b") }
		}},
		{"limits go and come back", func(s *site) func() {
			leaders, plain := s.leaders("a")
			s.setLimits(append(leaders, plain...), 0)
			time.Sleep(time.Second)
			s.setLimits(append(leaders, plain...), 2)
			return noop
		}},
		{"limits fall to one request a second", func(s *site) func() {
			leaders, plain := s.leaders("a")
			s.setLimits(append(leaders, plain...), 1)
			return noop
		}},
	}
}

// Guards against limits that are kept only in calm: whatever happens to the entries,
// servers get few requests more than they name, and others are served.
func TestLimitsAreKeptBesideOtherFaults(t *testing.T) {
	t.Parallel()
	for name, entries := range siteSizes {
		for i, fc := range limitDisturbances() {
			if !*limitsEverywhere && (i < entryDisturbances) != (entries == relayedEntriesPerZone) {
				continue
			}
			t.Run(name+" "+fc.name, func(t *testing.T) {
				t.Parallel()
				playLimits(t, entries, 3, func(s *site) {
					leaders, plain := s.leaders("a")
					s.setLimits(append(leaders, plain...), 3)
					time.Sleep(5 * time.Second)
					end := fc.inject(s)
					time.Sleep(6 * time.Second)
					end()
					time.Sleep(4 * time.Second)
					leaders, plain = s.leaders("a")
					s.setLimits(append(leaders, plain...), 0)
					time.Sleep(3 * time.Second)
					s.requireServed()
				})
			})
		}
	}
}

// Pattern: overload at servers that all name low limits. A request that can't be served
// in its time must be refused at once, not after it has waited in vain, and the limits
// must be used all the same.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const (
		atOnce    = 200 * time.Millisecond
		minAtOnce = 0.75
	)
	for name, entries := range siteSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLimits(t, entries, 4, func(s *site) {
				limited := s.allLeaders()
				s.setLimits(limited, 1)
				time.Sleep(limitSettles + time.Second)
				from := time.Now()
				s.requireUse(10*time.Second, limited)
				require.GreaterOrEqual(s.t, s.callers.refusedWithin(from, time.Now(), atOnce), minAtOnce)
			})
		})
	}
}
