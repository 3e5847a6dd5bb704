package fleet_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Each test checks one invariant under random schedules of overlapping and
// repeated faults. The faults most relevant to the invariant are drawn more
// often. checkCommon checks the invariants about sends, records and responses
// after every run.

// faultsWith returns allFaults with four more copies of the given faults.
func faultsWith(more ...fault) []fault {
	faults := append([]fault(nil), allFaults...)
	for range 4 {
		faults = append(faults, more...)
	}
	return faults
}

func noExtraChecks(*chaos) {}

func TestInvariantNoGroupServesWithMissingMember(t *testing.T) {
	checkUnderFaults(t, faultsWith(memberCrash, memberPause, domainOutage), noExtraChecks)
}

// Runs schedules that have failed before.
func TestInvariantNoGroupServesWithMissingMemberAtOldSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		// A paused leader handled requests that had arrived long before a member
		// went missing. The stand-in counted them by their handling time.
		"paused leader": 14451007,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Empty(t, runChaos(t, seed, faultsWith(memberCrash, memberPause, domainOutage), requestInterval, noExtraChecks))
			})
		})
	}
}

func TestInvariantNoInstanceInTwoGroups(t *testing.T) {
	checkUnderFaults(t, faultsWith(memberCrash, domainOutage, entryCrash, platformLosesResponses), noExtraChecks)
}

func TestInvariantColdServerLoadLimit(t *testing.T) {
	// This interval keeps every credit of a cold group in use.
	const busy = 25 * time.Millisecond
	checkUnderFaultsAndLoad(t, faultsWith(groupTurnsCold, memberCrash, entryCrash, zoneWithoutPlatform, entryPartition), busy, noExtraChecks)
}

func TestInvariantZoneOutOfServiceGetsNoNewRequests(t *testing.T) {
	// No zone is partitioned, since the change must reach all entries.
	move := fault{"a zone is out for a while", func(c *chaos, rng *rand.Rand, d time.Duration) {
		zone := c.fleet.Plan.Zones[rng.IntN(len(c.fleet.Plan.Zones))]
		for _, out := range []bool{true, false} {
			entries := c.fleet.Entries()
			_ = c.fleet.SetZoneOut(c.ctx, entries[rng.IntN(len(entries))], zone, out, "chaos")
			time.Sleep(d)
		}
	}}
	faults := []fault{move, move, move, memberCrash, groupTurnsCold, entryCrash, entryShutdown, silentConnections, concurrentOperators, serviceLosesResponses}
	checkUnderFaults(t, faults, func(c *chaos) {
		sent := c.fleet.Counts().SentToZoneOut
		c.expect(sent == 0, "%d requests were sent to a zone that is out of service", sent)
	})
}

func TestInvariantResponsesAreCompleteAndNotMixed(t *testing.T) {
	checkUnderFaults(t, faultsWith(responsesCut, responsesCrossed, memberPause, silentConnections), noExtraChecks)
}

func TestInvariantNotRunIsTrue(t *testing.T) {
	checkUnderFaults(t, faultsWith(serviceLosesResponses, silentConnections, zonePartition), noExtraChecks)
}

func TestInvariantRecordRunsAtMostOnce(t *testing.T) {
	checkUnderFaults(t, faultsWith(serviceLosesResponses, silentConnections, entryCrash), noExtraChecks)
}

func TestInvariantLeavingServerGetsNoNewRequests(t *testing.T) {
	drain := fault{"an instance is drained", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		engines := c.fleet.Engines()
		i := engines[rng.IntN(len(engines))]
		if rng.IntN(2) == 0 {
			c.fleet.MarkLeaving(i.Name) // through the platform's instance list
			i.Engine.SetLeaving(true)
			return
		}
		client := c.fleet.Operator(c.fleet.Entries()[0])
		_, err := client.Apply(c.ctx, operator.Change{
			Author: "chaos", Kind: operator.KindInstance, Name: i.Name,
			Instance: &operator.Instance{Name: i.Name, Drained: true},
		})
		if err == nil {
			i.Engine.SetLeaving(true)
		}
	}}
	faults := []fault{drain, drain, drain, memberCrash, groupTurnsCold, entryCrash, entryShutdown, silentConnections, serviceLosesResponses}
	checkUnderFaults(t, faults, func(c *chaos) {
		sent := c.fleet.Counts().SentToLeaving
		c.expect(sent == 0, "%d requests were sent to a leaving server", sent)
	})
}

func TestInvariantGracefulShutdownCutsNoResponse(t *testing.T) {
	leave := fault{"an entry shuts down in the middle of answers", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		m := c.takeEntry(rng)
		if m == nil {
			return
		}
		client := c.fleet.Client(m.Zone)
		for n := range 6 {
			c.background.Go(func() {
				answer := load.NewCaller(client, fleet.Key(0)).Generate(c.ctx, "http://"+m.CallerAddress, load.Request{
					Model: fleet.ModelName, Prompt: "leaving", MaxTokens: 100 + n,
				})
				c.expect(answer.Complete || answer.Rejected(), "a graceful shutdown cut a response: %v", answer.Err)
			})
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		c.replace(m)
		err := m.Entry.Shutdown(c.ctx)
		c.expect(err == nil, "shutdown failed: %v", err)
		client.CloseIdleConnections()
	}}
	checkUnderFaults(t, []fault{leave, leave, groupTurnsCold, platformSlow, platformDown, concurrentOperators, responsesCut}, noExtraChecks)
}

func TestInvariantAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	checkUnderFaults(t, faultsWith(concurrentOperators, platformLosesResponses, platformDown, entryCrash, zonePartition), func(c *chaos) {
		time.Sleep(10 * time.Second) // all faults have ended
		highest := uint64(0)
		for revision := range c.accepted {
			highest = max(highest, revision)
		}
		for _, m := range c.fleet.Entries() {
			c.expect(m.Entry.Revision() >= highest, "entry %s is at revision %d but revision %d was accepted", m.Name, m.Entry.Revision(), highest)
			read, err := c.fleet.Operator(m).History(c.ctx, 0)
			c.expect(err == nil, "read the history of entry %s: %v", m.Name, err)
			for _, change := range read {
				accepted, known := c.accepted[change.Revision]
				c.expect(!known || accepted.Attempt == change.Attempt, "revision %d has another change at entry %s", change.Revision, m.Name)
			}
		}
	})
}
