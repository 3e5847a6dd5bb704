package site_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// relaysOf returns the relays of a zone in a site of relayedEntriesPerZone: of
// entries that are equally strong, those whose names sort first.
func (s *site) relaysOf(zone string) []*machine {
	var relays []*machine
	for _, m := range s.allMachines() {
		if m.zone == zone && len(relays) < 2 {
			relays = append(relays, m)
		}
	}
	return relays
}

// relaysAway is how long relays have old rows while keys are revoked.
const relaysAway = revocation + 2*time.Second

// relayFaultCases returns the faults of a zone's relays. They overlap with changes
// that must reach the zone's other entries nevertheless.
func relayFaultCases() []faultCase {
	killRelays := func(powerLoss bool) func(s *site) func() {
		return func(s *site) func() {
			for _, m := range s.relaysOf("a") {
				s.kill(m, powerLoss)
			}
			s.setRevocableKeys()
			return func() {
				s.startEntries()
				s.setRevocableKeys("k-" + revocableOrganisation)
			}
		}
	}
	return []faultCase{
		{"both relays killed at once, then keys revoked", killRelays(false)},
		{"both relays without power at once, then keys revoked", killRelays(true)},
		{"one relay without power", func(s *site) func() {
			s.kill(s.relaysOf("a")[0], true)
			return s.startEntries
		}},
		{"both relays frozen, keys revoked meanwhile", func(s *site) func() {
			for _, m := range s.relaysOf("a") {
				s.freeze(m, relaysAway)
			}
			s.setRevocableKeys()
			time.Sleep(relaysAway)
			return func() { s.setRevocableKeys("k-" + revocableOrganisation) }
		}},
		{"a relay frozen, wakes with old rows", func(s *site) func() {
			s.freeze(s.relaysOf("a")[0], 3*time.Second)
			s.setRevocableKeys()
			return func() { s.setRevocableKeys("k-" + revocableOrganisation) }
		}},
		{"the store refuses both relays, keys revoked meanwhile", func(s *site) func() {
			s.setStoreFaults(standin.StoreFaults{RejectedEntries: map[string]bool{"a-1": true, "a-2": true}})
			s.setRevocableKeys()
			time.Sleep(relaysAway) // the checker reports requests that arrive after the bound
			return func() {
				s.setStoreFaults(standin.StoreFaults{})
				s.setRevocableKeys("k-" + revocableOrganisation)
			}
		}},
		{"the store refuses all but the relays", func(s *site) func() {
			rejected := map[string]bool{}
			for _, m := range s.allMachines() {
				rejected[m.name] = true
			}
			for _, zone := range zones {
				for _, m := range s.relaysOf(zone) {
					delete(rejected, m.name)
				}
			}
			s.setStoreFaults(standin.StoreFaults{RejectedEntries: rejected})
			return func() { s.setStoreFaults(standin.StoreFaults{}) }
		}},
		{"clock jump on a relay", func(s *site) func() {
			s.relaysOf("a")[0].jumpClock(4 * time.Second)
			return noop
		}},
	}
}

var relayedCases = flag.Int("relayed-cases", 8, "number of fault cases to run in a site with relays, beside those of relays; -1 for all")

// In a zone with relays every invariant must hold as in one in which all entries
// follow the store: keys revoked, configurations, drains, evacuations, groups.
func TestInvariantsHoldWithRelaysUnderEachFault(t *testing.T) {
	for _, fc := range relayFaultCases() {
		t.Run(subtestName(fc), func(t *testing.T) { runFaultCases(t, relayedEntriesPerZone, *seed, false, fc) })
	}
	all := faultCases()
	order := rand.New(rand.NewPCG(*seed, 3)).Perm(len(all))
	if *relayedCases >= 0 {
		order = order[:min(*relayedCases, len(order))]
	}
	for _, i := range order {
		planned := i < len(plannedCases())
		t.Run(subtestName(all[i]), func(t *testing.T) { runFaultCases(t, relayedEntriesPerZone, *seed, planned, all[i]) })
	}
}

// Pattern: many entries. Each call of the store is billed, and an entry more must not
// cost calls of its own: ten calls a second for each zone are the target.
func TestStoreCallsDoNotGrowWithTheNumberOfEntries(t *testing.T) {
	const callsPerZone = 10
	for _, entries := range []int{relayedEntriesPerZone, 2 * relayedEntriesPerZone} {
		synctest.Test(t, func(t *testing.T) {
			s := newSiteOf(t, *seed, entries)
			defer s.stop()
			s.run()
			time.Sleep(5 * time.Second)
			const span = 10
			before := s.store.Calls()
			time.Sleep(span * time.Second)
			calls := s.store.Calls() - before
			s.stop()
			require.Empty(t, s.violations())
			require.LessOrEqual(t, calls, callsPerZone*len(zones)*span, "%d entries a zone", entries)
		})
	}
}

// Guards against entries that lose their configuration with their relays: the others
// of the zone accept requests all the while, and a change reaches all of them.
func TestEntriesStayReadyWithoutTheirRelays(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSiteOf(t, *seed, relayedEntriesPerZone)
			defer s.stop()
			s.run()
			time.Sleep(5 * time.Second)
			lost := map[string]bool{}
			for _, m := range s.relaysOf("a") {
				lost[m.name] = true
				s.kill(m, powerLoss)
			}
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				for _, m := range s.allMachines() {
					require.True(t, lost[m.name] || m.ready(), "%s, power loss %v", m.name, powerLoss)
				}
			}
			s.stop()
			require.Empty(t, s.violations())
		})
	}
}
