package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// Guards against open routes after the last organisation was taken away, at entries
// that follow the store, that follow a relay, and that start afterwards.
func TestNothingRunsAfterTheLastOrganisationWasTakenAway(t *testing.T) {
	for _, entries := range []int{entriesPerZone, relayedEntriesPerZone} {
		synctest.Test(t, func(t *testing.T) {
			s := newSiteOf(t, *seed, entries)
			defer s.stop()
			s.run()
			time.Sleep(2 * time.Second)
			for _, o := range s.config.Organisations {
				s.checker.keysChanged(o.Name, false)
			}
			s.changeConfig(func(c *routes.Config) { c.Organisations = nil })
			time.Sleep(revocation)
			from := time.Now()
			time.Sleep(time.Second)
			s.kill(s.allMachines()[0], false)
			s.start(s.allMachines()[0])
			time.Sleep(2 * time.Second)
			needsKey := func(r result) bool { return r.path != "/bays/1" }
			share, refusals := s.callers.servedShare(from, time.Now(), needsKey)
			require.Zero(t, share)
			require.Contains(t, refusals, "401")
			public, failures := s.callers.servedShare(from, time.Now(), func(r result) bool { return r.path == "/bays/1" })
			require.GreaterOrEqual(t, public, minServedShare, failures)
			s.stop()
			require.Empty(t, s.violations())
		})
	}
}
