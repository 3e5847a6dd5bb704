package site_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// neededGroups returns the needed groups that the zones' controllers logged last.
func (c *checker) neededGroups(t *testing.T) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, log := range c.logs {
		latest := 0.0
		for line := range bytes.Lines(log.Bytes()) {
			var fields struct {
				Event int     `json:"event"`
				Large float64 `json:"needed-large"`
				Small float64 `json:"needed-small"`
			}
			require.NoError(t, json.Unmarshal(line, &fields))
			if fields.Event == 420 {
				latest = fields.Large + fields.Small
			}
		}
		total += latest
	}
	return total
}

// Guards against demand that is lost or counted twice on its way from the entries
// through the relays to the zone's controller: what the controllers plan by must be
// what the callers send.
func TestControllersPlanByTheDemandOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteOf(t, *seed, relayedEntriesPerZone)
		defer s.stop()
		e := s.config.Services[0].Engine
		e.StepTime, e.SequenceTime, e.PrefillRate = 6*time.Millisecond, 99*time.Millisecond, 1000
		work := e.Work("large", 0, eventCount)
		s.putConfig()
		s.callers.setLoad(3)
		s.run()
		time.Sleep(30 * time.Second)
		since := time.Now().Add(-20 * time.Second)
		needed := s.checker.neededGroups(t)
		s.stop()
		require.Empty(t, s.violations())
		streams := 0
		for _, r := range s.callers.results {
			if strings.HasPrefix(r.path, "/notes/") && r.at.After(since) && r.at.Before(since.Add(20*time.Second)) {
				streams++
			}
		}
		require.InEpsilon(t, float64(streams)/20*work/0.75, needed, 0.25)
	})
}
