package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// sendLoad sends requests through all entries for d and returns the number of
// complete responses.
func sendLoad(ctx context.Context, f *fleet.Fleet, interval, d time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for n := 0; time.Duration(n)*interval < d; n++ {
		m := f.Entries()[n%len(f.Entries())]
		wg.Go(func() {
			if generate(ctx, f, m, fmt.Sprintf("p%d", n), 30).Complete {
				mu.Lock()
				defer mu.Unlock()
				whole++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return whole
}

func leaders(f *fleet.Fleet) []*fleet.Instance {
	var list []*fleet.Instance
	for _, i := range f.Engines() {
		if i.Engine.Rank() == 0 {
			list = append(list, i)
		}
	}
	return list
}

// openGroups returns the number of groups for which the entry has a valid permit
// with credits.
func openGroups(ctx context.Context, t *testing.T, f *fleet.Fleet, m *fleet.Entry) int {
	t.Helper()
	status, err := f.Operator(m).Status(ctx)
	require.NoError(t, err)
	open := 0
	for _, g := range status.Groups {
		if g.Valid && g.Credits > 0 {
			open++
		}
	}
	return open
}

func TestColdGroupHasOneGrantorDuringPartition(t *testing.T) {
	plan := oneZone()
	plan.GroupsPerZone = 1
	plan.Speed.ColdTime = 20 * time.Second
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		f.Network.Partition(f.Entries()[0].Name, f.Entries()[1].Name)
		time.Sleep(5 * time.Second)
		for _, i := range leaders(f) {
			i.Engine.TurnCold()
		}
		time.Sleep(3 * time.Second)
		require.Positive(t, sendLoad(ctx, f, 30*time.Millisecond, 10*time.Second))
		require.Zero(t, f.Counts().ColdLimitExceeded)
	})
}

func TestMissingMemberClosesGroupAtAllEntries(t *testing.T) {
	plan := oneZone()
	plan.GroupsPerZone = 1
	plan.InstancesPerDomain = 2 // no spares, so the group stays closed
	plan.DomainsPerZone = 1
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for _, i := range f.Engines() {
			if i.Engine.Rank() == 1 {
				i.Engine.SetFaults(standin.EngineFaults{Dead: true})
			}
		}
		time.Sleep(600 * time.Millisecond) // time for one probe and the push to the other entries
		for _, m := range f.Entries() {
			require.Zero(t, openGroups(ctx, t, f, m), m.Name)
		}
	})
}

func TestPausedMemberClosesGroupWithinPermitTerm(t *testing.T) {
	plan := oneZone()
	plan.GroupsPerZone = 1
	plan.InstancesPerDomain = 2
	plan.DomainsPerZone = 1
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for _, i := range f.Engines() {
			if i.Engine.Rank() == 1 {
				i.Engine.SetFaults(standin.EngineFaults{Paused: true})
			}
		}
		time.Sleep(2 * time.Second)
		for _, m := range f.Entries() {
			require.Zero(t, openGroups(ctx, t, f, m), m.Name)
		}
	})
}

func TestDeadMemberIsReplacedInItsDomain(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		dead := leaders(f)[0]
		dead.Engine.SetFaults(standin.EngineFaults{Dead: true})
		require.NoError(t, f.WaitGroupsOpen(ctx))
		time.Sleep(10 * time.Second)
		require.NoError(t, f.WaitGroupsOpen(ctx))
		for _, members := range f.GroupMembers() {
			require.NotContains(t, members, dead.Name)
		}
		requireWhole(t, generate(ctx, f, f.Entries()[0], "x", 9), "x", 9)
	})
}

func TestZoneServesDuringLongPlatformOutage(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
		time.Sleep(time.Minute)
		for _, m := range f.Entries() {
			requireWhole(t, generate(ctx, f, m, "outage", 20), "outage", 20)
		}
		// Groups of an entry that dies during the outage stay open.
		f.Entries()[0].Entry.Close()
		f.Remove(f.Entries()[0])
		time.Sleep(10 * time.Second)
		for range 5 {
			requireWhole(t, generate(ctx, f, f.Entries()[0], "outage", 20), "outage", 20)
		}
		require.Equal(t, 2, openGroups(ctx, t, f, f.Entries()[0]))
		f.Platform.SetFaults(standin.PlatformFaults{})
	})
}

func TestGroupsOfDeadEntryServeUntilTakeover(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		f.Entries()[0].Entry.Close()
		f.Remove(f.Entries()[0])
		time.Sleep(3 * time.Second) // the session expires after 7 s
		require.Equal(t, 2, openGroups(ctx, t, f, f.Entries()[0]))
		time.Sleep(20 * time.Second)
		status, err := f.Operator(f.Entries()[0]).Status(ctx)
		require.NoError(t, err)
		for _, g := range status.Groups {
			require.Equal(t, f.Entries()[0].Name, g.Owner, "the other entry must own the group after the takeover")
		}
	})
}

func TestEntryStartsFromPeersDuringPlatformOutage(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
		f.Seeds = []string{f.Entries()[0].Entry.PeerAddress()}
		m, err := f.StartEntry("late", "a")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.True(t, m.Entry.Ready())
		require.Equal(t, f.Entries()[0].Entry.Revision(), m.Entry.Revision())
		f.Platform.SetFaults(standin.PlatformFaults{})
	})
}

func TestEntryWithoutPlatformRenewsSessionThroughPeer(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		m := f.Entries()[0]
		before, err := f.Operator(m).Status(ctx)
		require.NoError(t, err)
		f.Network.Partition(m.Name, fleet.PlatformZone)
		time.Sleep(30 * time.Second)
		row := string(f.Platform.Table.Value("session/a/" + m.Name))
		require.Contains(t, row, `"state":"live"`)
		after, err := f.Operator(m).Status(ctx)
		require.NoError(t, err)
		require.False(t, after.PlatformReachable)
		require.Equal(t, before.SessionEpoch, after.SessionEpoch)
	})
}

func TestChangeSpreadsInSecondsAndSurvivesItsEntry(t *testing.T) {
	plan := fleet.DefaultPlan()
	plan.LogLevel = "error"
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		author := f.Entries()[0]
		accepted, err := f.Operator(author).Apply(ctx, operator.Change{
			Author: "ann", Kind: operator.KindInstance, Name: "engine-a-0-0",
			Instance: &operator.Instance{Name: "engine-a-0-0", Held: true},
		})
		require.NoError(t, err)
		author.Entry.Close()
		f.Remove(author)
		time.Sleep(3 * time.Second)
		for _, m := range f.Entries() {
			require.Equal(t, accepted.Revision, m.Entry.Revision(), m.Name)
		}
	})
}

func TestChangeWithLostResponseIsAcceptedOnce(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		client := f.Operator(f.Entries()[0])
		read, err := client.Configuration(ctx)
		require.NoError(t, err)
		f.Platform.SetFaults(standin.PlatformFaults{LoseResponses: true})
		accepted, err := client.Apply(ctx, operator.Change{
			Base: read.Revision, Author: "ann", Reason: "r", Kind: operator.KindZone, Name: "q",
			Zone: &operator.Zone{Name: "q", Out: true},
		})
		require.NoError(t, err)
		require.Equal(t, read.Revision+1, accepted.Revision)
		f.Platform.SetFaults(standin.PlatformFaults{})
		time.Sleep(3 * time.Second)
		require.Equal(t, accepted.Revision, f.Entries()[1].Entry.Revision())
	})
}

func TestSilentPooledConnectionsAreReplaced(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		require.Positive(t, sendLoad(ctx, f, 20*time.Millisecond, time.Second))
		for _, i := range f.Instances() {
			f.Network.Blackhole(i.Address)
		}
		for _, m := range f.Entries() {
			f.Network.Blackhole(m.Entry.PeerAddress())
		}
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.Entries() {
			requireWhole(t, generate(ctx, f, m, "silent", 20), "silent", 20)
			client := f.Client("a")
			answer := load.NewCaller(client, fleet.Key(0)).Record(ctx, "http://"+m.CallerAddress, fleet.ServiceName, standin.RecordHeader, "s-"+m.Name)
			client.CloseIdleConnections()
			require.True(t, answer.Complete)
			require.Equal(t, 1, f.Records.Count("s-"+m.Name))
		}
	})
}

func TestRecoveredDomainServesAgain(t *testing.T) {
	plan := oneZone()
	plan.DomainsPerZone = 1
	plan.InstancesPerDomain = 4 // no spares
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		set := func(faults standin.EngineFaults) {
			for _, i := range f.Engines() {
				i.Engine.SetFaults(faults)
			}
		}
		set(standin.EngineFaults{Dead: true})
		time.Sleep(30 * time.Second)
		require.Zero(t, openGroups(ctx, t, f, f.Entries()[0]))
		set(standin.EngineFaults{})
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, openGroups(ctx, t, f, f.Entries()[0]))
	})
}

// Guards against session renewals that block on the unreachable platform and
// interrupt the permits that the zone's entries grant each other.
func TestPermitsStayValidInIsolatedZone(t *testing.T) {
	plan := fleet.DefaultPlan()
	plan.LogLevel = "fatal"
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for _, other := range []string{"b", "c", fleet.PlatformZone} {
			f.Network.Partition("a", other)
		}
		for cutOff := time.Now(); time.Since(cutOff) < 10*time.Second; time.Sleep(130 * time.Millisecond) {
			for _, m := range f.Entries()[:2] {
				require.Equal(t, plan.GroupsPerZone, openGroups(ctx, t, f, m), "%s after %s", m.Name, time.Since(cutOff))
			}
		}
	})
}

// Guards against revoked permits when a watch ends. Partitioned entries probe
// each other's groups; a probe that is cancelled when the watch ends must not
// count as a failure.
func TestEndedWatchRevokesNoPermits(t *testing.T) {
	plan := oneZone()
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		one, two := f.Entries()[0], f.Entries()[1]
		for range 5 {
			f.Network.Partition(one.Name, two.Name)
			time.Sleep(3 * time.Second)
			f.Network.EndPartition(one.Name, two.Name)
			for healed := time.Now(); time.Since(healed) < 15*time.Second; time.Sleep(130 * time.Millisecond) {
				for _, m := range f.Entries() {
					require.Equal(t, plan.GroupsPerZone, openGroups(ctx, t, f, m), "%s after %s", m.Name, time.Since(healed))
				}
			}
		}
	})
}

func TestIsolatedZoneAcceptsOrders(t *testing.T) {
	plan := fleet.DefaultPlan()
	plan.LogLevel = "fatal"
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for _, other := range []string{"b", "c", fleet.PlatformZone} {
			f.Network.Partition("a", other)
		}
		time.Sleep(5 * time.Second)
		before := f.Entries()[0].Entry.Revision()
		drained := leaders(f)[0]
		require.Equal(t, "a", drained.Zone)
		accepted, err := f.Operator(f.Entries()[0]).Apply(ctx, operator.Change{
			Author: "ann", Kind: operator.KindInstance, Name: drained.Name,
			Instance: &operator.Instance{Name: drained.Name, Drained: true},
		})
		require.NoError(t, err)
		require.Zero(t, accepted.Revision)
		drained.Engine.SetLeaving(true)
		time.Sleep(3 * time.Second)
		require.Equal(t, 3, openGroups(ctx, t, f, f.Entries()[1]), "the other entry of the zone must follow the order")
		require.Positive(t, sendLoad(ctx, f, 50*time.Millisecond, 3*time.Second))
		require.Zero(t, f.Counts().SentToLeaving)
		require.Equal(t, before, f.Entries()[0].Entry.Revision())
		for _, other := range []string{"b", "c", fleet.PlatformZone} {
			f.Network.EndPartition("a", other)
		}
		time.Sleep(10 * time.Second)
		for _, m := range f.Entries() {
			require.Equal(t, before+1, m.Entry.Revision(), "the order must be recorded once at every entry")
			instances, err := f.Operator(m).Instances(ctx)
			require.NoError(t, err)
			for _, i := range instances {
				require.Equal(t, i.Name == drained.Name, i.Drained, i.Name)
			}
		}
	})
}

func TestProvisionalOrderYieldsToEarlierChange(t *testing.T) {
	plan := fleet.DefaultPlan()
	plan.LogLevel = "fatal"
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for _, other := range []string{"b", "c", fleet.PlatformZone} {
			f.Network.Partition("a", other)
		}
		time.Sleep(5 * time.Second)
		outside := f.Entries()[2]
		require.Equal(t, "b", outside.Zone)
		change := func(author string, out bool) operator.Change {
			return operator.Change{
				Author: author, Reason: "r", Kind: operator.KindZone, Name: "a", Zone: &operator.Zone{Name: "a", Out: out},
			}
		}
		_, err := f.Operator(f.Entries()[0]).Apply(ctx, change("inside", true))
		require.NoError(t, err)
		accepted, err := f.Operator(outside).Apply(ctx, change("outside", false))
		require.NoError(t, err)
		for _, other := range []string{"b", "c", fleet.PlatformZone} {
			f.Network.EndPartition("a", other)
		}
		time.Sleep(10 * time.Second)
		for _, m := range f.Entries() {
			require.Equal(t, accepted.Revision, m.Entry.Revision(), m.Name)
			configuration, err := f.Operator(m).Configuration(ctx)
			require.NoError(t, err)
			for _, c := range configuration.Changes {
				if c.Kind == operator.KindZone {
					require.Equal(t, "outside", c.Author)
				}
			}
		}
		require.Equal(t, 4, openGroups(ctx, t, f, f.Entries()[0]), "zone a must be in service")
	})
}

func TestBurnReportCoversAllEntries(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		for n := range 10 {
			requireWhole(t, generate(ctx, f, f.Entries()[n%2], "x", 4), "x", 4)
		}
		report, err := f.Operator(f.Entries()[0]).Burn(ctx)
		require.NoError(t, err)
		require.Empty(t, report.Unreached)
		good := make(map[string]int64)
		for _, b := range report.Counts {
			if b.Window == 5*time.Minute {
				good[b.Objective] += b.Good
			}
			require.Zero(t, b.Bad)
		}
		require.Equal(t, map[string]int64{"availability": 10, "first-token": 10, "between-tokens": 10}, good)
		f.Network.Partition(f.Entries()[0].Name, f.Entries()[1].Name)
		report, err = f.Operator(f.Entries()[0]).Burn(ctx)
		require.NoError(t, err)
		require.Equal(t, []string{f.Entries()[1].Name}, report.Unreached)
	})
}

func TestRequestToUnreachableServerEndsInTime(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		m := f.Entries()[0]
		f.Network.Partition(m.Name, "a")
		client := f.Client("outside")
		defer client.CloseIdleConnections()
		begin := time.Now()
		answer := load.NewCaller(client, fleet.Key(0)).Record(ctx, "http://"+m.CallerAddress, fleet.ServiceName, standin.RecordHeader, "far")
		require.Less(t, time.Since(begin), 5*time.Second)
		require.Equal(t, caller.NotRun, answer.Run)
		require.Zero(t, f.Records.Count("far"))
	})
}

func TestLongResponseSurvivesPauseOfAllGroups(t *testing.T) {
	plan := oneZone()
	plan.Speed.TokenInterval = 50 * time.Millisecond
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		set := func(faults standin.EngineFaults) {
			for _, i := range f.Engines() {
				i.Engine.SetFaults(faults)
			}
		}
		go func() {
			time.Sleep(15 * time.Second) // longer than a request may wait for a server
			set(standin.EngineFaults{Paused: true})
			time.Sleep(2500 * time.Millisecond)
			set(standin.EngineFaults{})
		}()
		requireWhole(t, generate(ctx, f, f.Entries()[0], "long", 500), "long", 500)
	})
}

// Guards against responses that are cut because their replica is silent for a while and
// the others are full.
func TestResponsesSurviveASilentReplicaWhileTheOtherIsFull(t *testing.T) {
	for _, pause := range []time.Duration{2600 * time.Millisecond, 5 * time.Second, 12 * time.Second, 20 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			plan := oneZone()
			plan.Speed.TokenInterval = 50 * time.Millisecond
			runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
				time.Sleep(5 * time.Second) // the groups are warm
				var responses sync.WaitGroup
				for n := range 2 * plan.Speed.Slots {
					prompt := fmt.Sprint("note ", n)
					responses.Go(func() {
						got := generate(ctx, f, f.Entries()[n%2], prompt, 200)
						assert.NoError(t, got.Err)
						assert.True(t, got.Complete)
						assert.Equal(t, standin.ExpectedResponse(prompt, 200), got.Text)
					})
				}
				time.Sleep(3 * time.Second)
				silent := leaders(f)[0]
				require.Equal(t, plan.Speed.Slots, leaders(f)[1].Engine.Running())
				silent.Engine.SetFaults(standin.EngineFaults{Paused: true})
				time.Sleep(pause)
				silent.Engine.SetFaults(standin.EngineFaults{})
				responses.Wait()
			})
		})
	}
}

// TestContinuedResponseIsResumed covers a stream that breaks in a request that
// already continues a partial message, such as one forwarded by another entry.
func TestContinuedResponseIsResumed(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		whole := standin.ExpectedResponse("note", 20)
		start := standin.ExpectedResponse("note", 5)
		for _, i := range leaders(f) {
			i.Engine.SetFaults(standin.EngineFaults{CutAfter: 3, RejectResume: true})
		}
		_, text := post(ctx, t, f, "/v1/chat/completions", fleet.Key(0), fmt.Sprintf(
			`{"model":"yard-notes","max_tokens":15,"continue_final_message":true,"add_generation_prompt":false,`+
				`"messages":[{"role":"user","content":"note"},{"role":"assistant","content":%q}]}`, start))
		require.Contains(t, text, fmt.Sprintf(`"content":%q`, whole[len(start):]))
	})
}

func TestDeadInstanceInStaleListIsNotReused(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		f.Platform.SetFaults(standin.PlatformFaults{ListLagMS: 60_000})
		dead := leaders(f)[0]
		dead.Engine.SetFaults(standin.EngineFaults{Dead: true})
		f.Unlist(dead.Name) // takes effect after a minute
		time.Sleep(15 * time.Second)
		require.NoError(t, f.WaitGroupsOpen(ctx))
		for _, members := range f.GroupMembers() {
			require.NotContains(t, members, dead.Name)
		}
	})
}
