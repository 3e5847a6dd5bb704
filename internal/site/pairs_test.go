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
	// settleTime is how long after its troubles a site serves as before.
	settleTime = 12 * time.Second
	// judgedTime is the span in which that is looked at.
	judgedTime = 4 * time.Second
	// servedAfter is the share of requests that are served then.
	servedAfter = 0.95
)

var (
	pairs = flag.Int("pairs", 24, "how many pairs of troubles to play; -1 for all")
	seed  = flag.Uint64("site-seed", 1, "seed of the pairs and of what they strike")
)

func anyResult(result) bool { return true }

// playTroubles strikes a site with troubles, one second apart, and holds it to
// what must always be.
func playTroubles(t *testing.T, seed uint64, calm bool, list ...trouble) {
	t.Parallel() // each test has a virtual time of its own
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, seed)
		defer s.stop()
		s.calm = calm
		s.run()
		time.Sleep(3 * time.Second)
		var ends []func()
		for _, tr := range list {
			ends = append(ends, tr.strike(s))
			time.Sleep(time.Second)
		}
		time.Sleep(troubleTime - time.Duration(len(list))*time.Second)
		for _, end := range ends {
			end()
		}
		ended := time.Now()
		time.Sleep(settleTime + judgedTime)
		from := ended.Add(settleTime)
		share, others := s.callers.served(from, from.Add(judgedTime-time.Second), anyResult)
		s.stop()
		require.Empty(t, s.broken())
		require.GreaterOrEqual(t, share, servedAfter, others)
	})
}

func TestASiteWithoutTroublesServesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		s.run()
		began := time.Now()
		time.Sleep(10 * time.Second)
		share, others := s.callers.served(began, time.Now().Add(-time.Second), anyResult)
		s.stop()
		require.Empty(t, s.broken())
		require.GreaterOrEqual(t, share, 0.99, others)
	})
}

// All entries start for the first time while every server is cold. None of
// them knows yet how many share the servers' rates.
func TestColdServersBearTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		for id, h := range s.hosts.ByID {
			if h.Service == records {
				s.servers[id].coldUntil = time.Now().Add(10 * time.Second)
			}
		}
		s.wg.Go(s.moveServers)
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
				s.wg.Go(func() { s.callers.call(zone) })
			}
		}
		time.Sleep(12 * time.Second)
		s.stop()
		require.Empty(t, s.witness.judge())
	})
}

func TestPromisesHoldInEachTrouble(t *testing.T) {
	for _, tr := range calmTroubles() {
		t.Run(name(tr), func(t *testing.T) { playTroubles(t, *seed, true, tr) })
	}
	for _, tr := range troubles()[len(calmTroubles()):] {
		t.Run(name(tr), func(t *testing.T) { playTroubles(t, *seed, false, tr) })
	}
}

func TestPromisesHoldInPairsOfTroubles(t *testing.T) {
	all := troubles()
	rng := rand.New(rand.NewPCG(*seed, 2))
	var list [][2]trouble
	for i, one := range all {
		for _, two := range all[i+1:] {
			list = append(list, [2]trouble{one, two}, [2]trouble{two, one})
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if *pairs >= 0 {
		list = list[:min(*pairs, len(list))]
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%s, %s", name(p[0]), name(p[1])), func(t *testing.T) {
			playTroubles(t, *seed+uint64(i), false, p[0], p[1])
		})
	}
}

func name(tr trouble) string { return strings.ReplaceAll(tr.name, "'", "") }
