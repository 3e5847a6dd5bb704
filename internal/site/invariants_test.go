package site_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// settleDuration bounds the recovery of a site after the last fault.
	settleDuration = 12 * time.Second
	// measuredDuration is how long the served share is measured after that.
	measuredDuration = 4 * time.Second
	// minServedShare is the required share of served requests after recovery.
	minServedShare = 0.95
)

var (
	pairs = flag.Int("pairs", 24, "number of fault pairs to run; -1 for all")
	seed  = flag.Uint64("site-seed", 1, "seed for the drawn pairs and for the servers that faults affect")
)

func anyResult(result) bool { return true }

// runFaultCases injects the cases into a site, one second apart, and checks the
// invariants and the served share after recovery.
func runFaultCases(t *testing.T, entries int, seed uint64, plannedOnly bool, list ...faultCase) {
	t.Parallel() // each test has its own virtual time
	synctest.Test(t, func(t *testing.T) {
		s := newSiteOf(t, seed, entries)
		defer s.stop()
		s.plannedOnly = plannedOnly
		s.run()
		time.Sleep(3 * time.Second)
		var ends []func()
		for _, fc := range list {
			ends = append(ends, fc.inject(s))
			time.Sleep(time.Second)
		}
		time.Sleep(faultDuration - time.Duration(len(list))*time.Second)
		for _, end := range ends {
			end()
		}
		endedAt := time.Now()
		time.Sleep(settleDuration + measuredDuration)
		from := endedAt.Add(settleDuration)
		share, failures := s.callers.servedShare(from, from.Add(measuredDuration-time.Second), anyResult)
		s.stop()
		require.Empty(t, s.violations())
		require.GreaterOrEqual(t, share, minServedShare, failures)
	})
}

func TestSiteWithoutFaultsServesAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		s.run()
		began := time.Now()
		time.Sleep(10 * time.Second)
		share, failures := s.callers.servedShare(began, time.Now().Add(-time.Second), anyResult)
		s.stop()
		require.Empty(t, s.violations())
		require.GreaterOrEqual(t, share, 0.99, failures)
	})
}

// Guards against overload when all entries start for the first time while every
// server is cold. No entry knows yet how many entries share a server's cold rate.
func TestFirstStartKeepsColdRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		for id, h := range s.hosts.ByID {
			if h.Service == recordService {
				s.servers[id].coldUntil = time.Now().Add(10 * time.Second)
			}
		}
		s.wg.Go(s.advanceServers)
		for i := range 4 {
			zone := zones[i%len(zones)]
			s.machines = append(s.machines, s.newMachine(fmt.Sprintf("%s-%d", zone, 3+i/2), zone))
		}
		for _, m := range s.machines {
			s.start(m)
			time.Sleep(100 * time.Millisecond)
		}
		for _, zone := range zones {
			for range 30 {
				s.wg.Go(func() { s.callers.run(zone) })
			}
		}
		time.Sleep(12 * time.Second)
		s.stop()
		require.Empty(t, s.checker.finish())
	})
}

// Pattern: many entries that start again at the same moment while servers are cold, amid
// requests. Each of them must not take a small site's share of the cold rate before it
// knows how many entries share it.
func TestManyEntriesThatStartAtOnceKeepToTheColdRate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSiteOf(t, *seed, 3*relayedEntriesPerZone)
		defer s.stop()
		s.run()
		s.callers.setLoad(20)
		time.Sleep(3 * time.Second)
		s.killEntries(false)
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		for id, h := range s.hosts.ByID {
			if h.Service == recordService {
				s.servers[id].coldUntil = time.Now().Add(6 * time.Second)
			}
		}
		s.mu.Unlock()
		s.startEntries()
		time.Sleep(4 * time.Second)
		s.stop()
		require.Empty(t, s.checker.finish())
		require.NotEmpty(t, s.checker.coldArrivals)
	})
}

func TestInvariantsHoldUnderEachFault(t *testing.T) {
	for _, fc := range plannedCases() {
		t.Run(subtestName(fc), func(t *testing.T) { runFaultCases(t, entriesPerZone, *seed, true, fc) })
	}
	for _, fc := range faultCases()[len(plannedCases()):] {
		t.Run(subtestName(fc), func(t *testing.T) { runFaultCases(t, entriesPerZone, *seed, false, fc) })
	}
}

func TestInvariantsHoldUnderPairsOfFaults(t *testing.T) {
	all := faultCases()
	rng := rand.New(rand.NewPCG(*seed, 2))
	var list [][2]faultCase
	for i, one := range all {
		for _, two := range all[i+1:] {
			list = append(list, [2]faultCase{one, two}, [2]faultCase{two, one})
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if *pairs >= 0 {
		list = list[:min(*pairs, len(list))]
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%s, %s", subtestName(p[0]), subtestName(p[1])), func(t *testing.T) {
			runFaultCases(t, entriesPerZone, *seed+uint64(i), false, p[0], p[1])
		})
	}
}

func subtestName(fc faultCase) string { return strings.ReplaceAll(fc.name, "'", "") }
