package site_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	// commonPart is a prompt part that all streaming requests share.
	commonPart = "common"
	// deadlyPrefix marks the prompt parts that crash servers.
	deadlyPrefix = "deadly"
	// restartAfterCrash is when a crashed server is back, with a new ID.
	restartAfterCrash = 3 * time.Second
	// settleWindow is how long after the fifth crash requests with the part may
	// still reach servers, and maxLateArrivals how many may do so later.
	settleWindow    = 3 * time.Second
	maxLateArrivals = 3
	crashLimit      = 5
	// deadlyShare is the share of deadly requests among the streaming ones for
	// deadlyPeriod, in which all groups can be formed again more than once.
	deadlyShare  = 0.1
	deadlyPeriod = 40 * time.Second
	// soundAfter is when sound requests must be served again. At deadlyShare, five
	// servers could have crashed two settle windows earlier.
	soundAfter = 15 * time.Second
)

// deadlyRequests makes a share of the streaming requests of the larger model
// carry one of the parts.
type deadlyRequests struct {
	share float64
	parts []string
	// harmless is set if the servers no longer crash on them.
	harmless bool
}

func isDeadly(part string) bool { return strings.HasPrefix(part, deadlyPrefix) }

func promptParts(h http.Header) []string {
	if h.Get("Parts") == "" {
		return nil
	}
	return strings.Split(h.Get("Parts"), ",")
}

func (s *site) setDeadly(share float64, parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly.share, s.deadly.parts = share, parts
}

// drawParts returns the prompt parts of a new request. A deadly request is for
// the larger model.
func (s *site) drawParts(id, path string, model *string) (parts string, deadly bool) {
	if serviceOf(path) != streamService {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.deadly.parts) == 0 || s.rng.Float64() >= s.deadly.share {
		return commonPart + ",own-" + id, false
	}
	*model = "large"
	return commonPart + "," + s.deadly.parts[s.rng.IntN(len(s.deadly.parts))] + ",own-" + id, true
}

// crashedBy crashes the server if the request has a deadly part. The server
// starts again at its address under a new ID, with its weights on the host.
func (s *site) crashedBy(id string, h http.Header) bool {
	for _, part := range promptParts(h) {
		if !isDeadly(part) {
			continue
		}
		s.mu.Lock()
		host, harmless := *s.hosts.ByID[id], s.deadly.harmless
		s.mu.Unlock()
		if harmless {
			return false
		}
		if host.Alive {
			s.checker.deadlyCrash(part)
			s.crash(id, false)
			time.AfterFunc(restartAfterCrash, func() {
				if s.done() {
					return
				}
				s.addHost(standin.Host{
					ID: host.ID + "+", Service: host.Service, Zone: host.Zone, Domain: host.Domain, Slots: host.Slots,
					Address: host.Address, Staged: host.Staged,
				})
			})
		}
		return true
	}
	return false
}

func (c *checker) deadlyCrash(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlyCrashes[part] = append(c.deadlyCrashes[part], time.Now())
}

// settledAt returns when no more requests with the part should reach servers.
// It returns false if there were fewer than crashLimit crashes.
func (c *checker) settledAt(part string) (time.Time, bool) {
	if len(c.deadlyCrashes[part]) < crashLimit {
		return time.Time{}, false
	}
	return c.deadlyCrashes[part][crashLimit-1].Add(settleWindow), true
}

// checkDeadlyParts checks how many requests with a deadly part reached servers
// after it had crashed crashLimit of them.
func (c *checker) checkDeadlyParts() {
	for part, arrivals := range c.deadlyArrivals {
		settled, found := c.settledAt(part)
		if !found {
			continue
		}
		late := 0
		for _, at := range arrivals {
			if at.After(settled) {
				late++
			}
		}
		if late > maxLateArrivals {
			c.addViolation("BUDGET: %d requests with %s reached servers after it had crashed %d", late, part, crashLimit)
		}
	}
}

// soundLarge counts the sound streaming requests of the larger model.
func soundLarge(r result) bool {
	return !r.deadly && r.model == "large" && serviceOf(r.path) == streamService
}

// playDeadly runs a site for deadlyPeriod with requests whose parts crash servers, beside
// the disturbance, and returns the served shares of sound requests of the larger
// model before that and from soundAfter on.
func playDeadly(t *testing.T, disturb func(s *site), parts ...string) (before, during float64, failures string) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		s.run()
		time.Sleep(5 * time.Second)
		began := time.Now()
		s.setDeadly(deadlyShare, parts...)
		disturb(s)
		time.Sleep(time.Until(began.Add(deadlyPeriod)))
		ended := time.Now()
		s.setDeadly(0)
		time.Sleep(2 * time.Second)
		s.stop()
		require.Empty(t, s.violations())
		for _, part := range parts {
			require.NotEmpty(t, s.checker.deadlyCrashes[part])
		}
		from := began.Add(soundAfter)
		before, _ = s.callers.servedShare(began.Add(-3*time.Second), began, soundLarge)
		during, failures = s.callers.servedShare(from, ended, soundLarge)
		t.Logf("%d crashes, %d deadly arrivals, served %.3f before, %.3f during: %s",
			len(s.checker.deadlyCrashes[parts[0]]), len(s.checker.deadlyArrivals[parts[0]]), before, during, failures)
	})
	return before, during, failures
}

// Guards against one prompt part that crashes server after server, because every
// new request with it and every retry is sent on.
func TestPartThatCrashesServersIsHeldBack(t *testing.T) {
	t.Parallel()
	before, during, failures := playDeadly(t, func(*site) {}, "deadly-1")
	require.GreaterOrEqual(t, during, before/2, failures)
}

// As TestPartThatCrashesServersIsHeldBack, with two such parts at once.
func TestTwoPartsThatCrashServersAreHeldBack(t *testing.T) {
	t.Parallel()
	before, during, failures := playDeadly(t, func(*site) {}, "deadly-1", "deadly-2")
	require.GreaterOrEqual(t, during, before/2, failures)
}

// Guards against forgetting the part when entries restart, one after the other.
func TestPartIsHeldBackAfterEntriesRestart(t *testing.T) {
	t.Parallel()
	playDeadly(t, func(s *site) {
		time.Sleep(9 * time.Second)
		for _, m := range s.allMachines() {
			s.kill(m, false)
			time.Sleep(500 * time.Millisecond)
			s.start(m)
			time.Sleep(time.Second)
		}
	}, "deadly-1")
}

// Guards against forgetting the part when all entries restart at once.
func TestPartIsHeldBackAfterAllEntriesRestart(t *testing.T) {
	t.Parallel()
	playDeadly(t, func(s *site) {
		time.Sleep(9 * time.Second)
		s.killEntries(true)
		time.Sleep(time.Second)
		s.startEntries()
	}, "deadly-1")
}

// Guards against sharing what is known about a part through the store alone.
func TestPartIsHeldBackWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	playDeadly(t, func(s *site) {
		time.Sleep(200 * time.Millisecond)
		s.setStoreFaults(standin.StoreFaults{Down: true, Delay: time.Millisecond})
		time.Sleep(8 * time.Second)
		s.setStoreFaults(standin.StoreFaults{})
	}, "deadly-1")
}

// Guards against decisions that wait for a store that does not respond: two parts
// are held back while it is silent.
func TestPartsAreHeldBackWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	playDeadly(t, func(s *site) {
		time.Sleep(200 * time.Millisecond)
		s.setStoreFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(15 * time.Second)
		s.setStoreFaults(standin.StoreFaults{})
	}, "deadly-1", "deadly-2")
}

// Guards against sharing what is known about a part between entries alone: the
// two zones are cut off from each other, and both reach the store.
func TestPartIsHeldBackInZonesThatAreCutOff(t *testing.T) {
	t.Parallel()
	playDeadly(t, func(s *site) {
		s.network.Partition(zones[0], zones[1])
		time.Sleep(12 * time.Second)
		s.network.EndPartition(zones[0], zones[1])
	}, "deadly-1")
}

// After the servers were mended, an operator releases the part. Requests with it
// are served again, long before it would have been tried.
func TestClearedPartIsServedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		s.run()
		time.Sleep(5 * time.Second)
		s.setDeadly(deadlyShare, "deadly-1")
		time.Sleep(10 * time.Second)
		isDeadlyResult := func(r result) bool { return r.deadly }
		share, _ := s.callers.servedShare(time.Now().Add(-3*time.Second), time.Now(), isDeadlyResult)
		require.Zero(t, share)
		s.mu.Lock()
		s.deadly.harmless = true
		s.mu.Unlock()
		s.store.Delete(quarantine.Table, "deadly-1")
		time.Sleep(time.Second)
		cleared := time.Now()
		time.Sleep(10 * time.Second)
		share, failures := s.callers.servedShare(cleared, cleared.Add(9*time.Second), isDeadlyResult)
		s.stop()
		require.Empty(t, s.violations())
		require.GreaterOrEqual(t, share, minServedShare, failures)
	})
}

// After the servers were mended without a word to the gateways, one request tries
// the part and releases it.
func TestMendedPartIsReleasedByATrial(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, *seed)
		defer s.stop()
		s.run()
		time.Sleep(5 * time.Second)
		s.setDeadly(deadlyShare, "deadly-1")
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		s.deadly.harmless = true
		s.mu.Unlock()
		time.Sleep(35 * time.Second)
		released := time.Now()
		time.Sleep(10 * time.Second)
		share, failures := s.callers.servedShare(released, released.Add(9*time.Second), func(r result) bool { return r.deadly })
		s.stop()
		require.Empty(t, s.violations())
		require.GreaterOrEqual(t, share, minServedShare, failures)
	})
}
