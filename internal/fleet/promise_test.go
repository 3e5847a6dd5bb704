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

// Each promise of the brief is tried under all faults, alone, together and
// twice, with the faults that concern it most drawn more often. judgeCommon
// checks the promises about sends, records and answers after every run.

func with(more ...fault) []fault {
	faults := append([]fault(nil), allFaults...)
	for range 4 {
		faults = append(faults, more...)
	}
	return faults
}

func nothingMore(*chaos) {}

func TestPromiseNoGroupServesWithAMissingMember(t *testing.T) {
	underFaults(t, with(memberDies, memberPauses, domainDark), nothingMore)
}

// Schedules that once failed, with what was found.
func TestPromiseNoGroupServesWithAMissingMemberAtOldSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		// A paused leader handled requests that had arrived long before a member
		// went missing; the stand-in counted them by when they were handled.
		"paused leader": 14451007,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Empty(t, runChaos(t, seed, with(memberDies, memberPauses, domainDark), requestEvery, nothingMore))
			})
		})
	}
}

func TestPromiseNoInstanceInTwoGroups(t *testing.T) {
	underFaults(t, with(memberDies, domainDark, entryDies, platformForgot), nothingMore)
}

func TestPromiseAColdServerBearsItsLoad(t *testing.T) {
	// The load is such that every credit of a cold group is in use.
	const busy = 25 * time.Millisecond
	underFaultsAndLoad(t, with(turnsCold, memberDies, entryDies, zoneOffPlatform, entriesApart), busy, nothingMore)
}

func TestPromiseAZoneOutGetsNoNewWork(t *testing.T) {
	// Word of the change must be able to arrive, so no zone is cut off.
	move := fault{"a zone is out for a while", func(c *chaos, rng *rand.Rand, d time.Duration) {
		zone := c.fleet.Plan.Zones[rng.IntN(len(c.fleet.Plan.Zones))]
		for _, out := range []bool{true, false} {
			entries := c.fleet.Entries()
			_ = c.fleet.SetZoneOut(c.ctx, entries[rng.IntN(len(entries))], zone, out, "chaos")
			time.Sleep(d)
		}
	}}
	faults := []fault{move, move, move, memberDies, turnsCold, entryDies, entryLeaves, connectionsSilent, operatorsRace, serviceForgets}
	underFaults(t, faults, func(c *chaos) {
		sent := c.fleet.Counts().SentToZoneOut
		c.promise(sent == 0, "%d sends to a zone that is out", sent)
	})
}

func TestPromiseAnswersAreWholeAndTheCallersOwn(t *testing.T) {
	underFaults(t, with(answersCut, answersCrossed, memberPauses, connectionsSilent), nothingMore)
}

func TestPromiseNotRunIsTrue(t *testing.T) {
	underFaults(t, with(serviceForgets, connectionsSilent, zonesApart), nothingMore)
}

func TestPromiseARecordRunsAtMostOnce(t *testing.T) {
	underFaults(t, with(serviceForgets, connectionsSilent, entryDies), nothingMore)
}

func TestPromiseALeavingServerGetsNoNewWork(t *testing.T) {
	drain := fault{"an instance is drained", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		engines := c.fleet.Engines()
		i := engines[rng.IntN(len(engines))]
		if rng.IntN(2) == 0 {
			c.fleet.Leave(i.Name) // by the platform's list
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
	faults := []fault{drain, drain, drain, memberDies, turnsCold, entryDies, entryLeaves, connectionsSilent, serviceForgets}
	underFaults(t, faults, func(c *chaos) {
		sent := c.fleet.Counts().SentToLeaving
		c.promise(sent == 0, "%d sends to a leaving server", sent)
	})
}

func TestPromiseAGracefulShutdownCutsNothing(t *testing.T) {
	leave := fault{"an entry shuts down in the middle of answers", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		m := c.take(rng)
		if m == nil {
			return
		}
		client := c.fleet.Client(m.Zone)
		for n := range 6 {
			c.background.Go(func() {
				answer := load.NewCaller(client, fleet.Key(0)).Generate(c.ctx, "http://"+m.CallerAddress, load.Request{
					Model: fleet.ModelName, Prompt: "leaving", MaxTokens: 100 + n,
				})
				c.promise(answer.Complete || answer.Rejected(), "a graceful shutdown cut an answer: %v", answer.Err)
			})
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		c.replace(m)
		err := m.Entry.Shutdown(c.ctx)
		c.promise(err == nil, "the shutdown failed: %v", err)
		client.CloseIdleConnections()
	}}
	underFaults(t, []fault{leave, leave, turnsCold, platformSlow, platformDown, operatorsRace, answersCut}, nothingMore)
}

func TestPromiseAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	underFaults(t, with(operatorsRace, platformForgot, platformDown, entryDies, zonesApart), func(c *chaos) {
		time.Sleep(10 * time.Second) // all faults are over
		highest := uint64(0)
		for revision := range c.accepted {
			highest = max(highest, revision)
		}
		for _, m := range c.fleet.Entries() {
			c.promise(m.Entry.Revision() >= highest, "%s is at revision %d, %d was accepted", m.Name, m.Entry.Revision(), highest)
			read, err := c.fleet.Operator(m).History(c.ctx, 0)
			c.promise(err == nil, "%s: %v", m.Name, err)
			for _, change := range read {
				accepted, known := c.accepted[change.Revision]
				c.promise(!known || accepted.Attempt == change.Attempt, "revision %d reverted at %s", change.Revision, m.Name)
			}
		}
	})
}
