package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// minServedWhileHalfWait is the share of each kind of request that must be served while
// half of the servers have asked for time.
const minServedWhileHalfWait = 0.5

// Guards against requests at servers that have asked for time, from any entry, and
// against callers of one kind that are starved meanwhile: half of the servers of the
// plain service and half of the leaders ask for five seconds.
func TestServersThatAskForTimeGetNoRequestsFromAnyEntry(t *testing.T) {
	const wait = 5 * time.Second
	for name, entries := range siteSizes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteOf(t, *seed, entries)
				defer s.stop()
				s.run()
				time.Sleep(2 * time.Second)
				for _, zone := range zones {
					leaders, plain := s.leaders(zone)
					for _, id := range append(leaders[:len(leaders)/2], plain[:len(plain)/2]...) {
						s.setFaults(id, serverFaults{asksUntil: time.Now().Add(wait)})
					}
				}
				from := time.Now()
				time.Sleep(wait)
				for _, path := range []string{"/notes/1", "/dock/1", "/bays/1"} {
					share, failures := s.callers.servedShare(from, time.Now(), func(r result) bool { return r.path == path })
					require.GreaterOrEqual(t, share, minServedWhileHalfWait, failures)
				}
				back := time.Now()
				time.Sleep(4 * time.Second)
				share, failures := s.callers.servedShare(back, time.Now(), anyResult)
				s.stop()
				require.Empty(t, s.violations())
				require.GreaterOrEqual(t, share, minServedShare, failures)
			})
		})
	}
}
