package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// engineFault returns a fault that sets the given faults at a random engine.
func engineFault(name string, faults standin.EngineFaults) fault {
	return fault{name, func(c *chaos, rng *rand.Rand, d time.Duration) {
		i := c.randomEngine(rng)
		i.Engine.SetFaults(faults)
		time.Sleep(d)
		i.Engine.SetFaults(standin.EngineFaults{})
	}}
}

// randomEngine returns a random engine, in about half of the draws preferably
// one that leads a group.
func (c *chaos) randomEngine(rng *rand.Rand) *fleet.Instance {
	engines := c.fleet.Engines()
	i := engines[rng.IntN(len(engines))]
	if rng.IntN(2) == 0 {
		return i
	}
	for range engines {
		if i.Engine.Rank() == 0 {
			break
		}
		i = engines[rng.IntN(len(engines))]
	}
	return i
}

// platformFault returns a fault that sets the given faults at the platform.
func platformFault(name string, faults standin.PlatformFaults) fault {
	return fault{name, func(c *chaos, _ *rand.Rand, d time.Duration) {
		c.fleet.Platform.SetFaults(faults)
		time.Sleep(d)
		c.fleet.Platform.SetFaults(standin.PlatformFaults{})
	}}
}

// cutFault returns a fault that disconnects two network endpoints.
func cutFault(name string, ends func(zones []string, rng *rand.Rand) (string, string)) fault {
	return fault{name, func(c *chaos, rng *rand.Rand, d time.Duration) {
		a, b := ends(c.fleet.Plan.Zones, rng)
		c.fleet.Network.Partition(a, b)
		time.Sleep(d)
		c.fleet.Network.EndPartition(a, b)
	}}
}

var (
	memberCrash      = engineFault("a member dies and comes back", standin.EngineFaults{Dead: true})
	memberPause      = engineFault("a member pauses", standin.EngineFaults{Paused: true})
	memberSlow       = engineFault("a member is a straggler", standin.EngineFaults{Slow: 20})
	responsesCut     = engineFault("answers break off", standin.EngineFaults{CutAfter: 3, RejectResume: true})
	responsesCrossed = engineFault("answers cross", standin.EngineFaults{CrossResponses: true})

	platformDown           = platformFault("the platform is down", standin.PlatformFaults{Outage: true})
	platformSlow           = platformFault("the platform is slow", standin.PlatformFaults{LatencyMS: 700})
	platformLosesResponses = platformFault("the platform's answers get lost", standin.PlatformFaults{LoseResponses: true})

	zoneWithoutPlatform = cutFault("a zone is cut off from the platform", func(zones []string, rng *rand.Rand) (string, string) {
		return zones[rng.IntN(len(zones))], fleet.PlatformZone
	})
	zonePartition = cutFault("two zones are cut off from each other", func(zones []string, rng *rand.Rand) (string, string) {
		a := rng.IntN(len(zones))
		return zones[a], zones[(a+1)%len(zones)]
	})

	entryPartition = fault{"two entries of a zone are cut off from each other", func(c *chaos, rng *rand.Rand, d time.Duration) {
		entries := c.fleet.Entries()
		if len(entries) == 0 {
			return
		}
		a := entries[rng.IntN(len(entries))]
		for _, b := range entries {
			if b != a && b.Zone == a.Zone {
				c.fleet.Network.Partition(a.Name, b.Name)
				time.Sleep(d)
				c.fleet.Network.EndPartition(a.Name, b.Name)
				return
			}
		}
	}}
	groupTurnsCold = fault{"a group turns cold without a warning", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		c.randomEngine(rng).Engine.TurnCold()
	}}
	domainOutage = fault{"a fabric domain goes dark", func(c *chaos, rng *rand.Rand, d time.Duration) {
		engines := c.fleet.Engines()
		domain := engines[rng.IntN(len(engines))].Domain
		set := func(faults standin.EngineFaults) {
			for _, i := range engines {
				if i.Domain == domain {
					i.Engine.SetFaults(faults)
				}
			}
		}
		set(standin.EngineFaults{Dead: true})
		time.Sleep(d)
		set(standin.EngineFaults{})
	}}
	silentConnections = fault{"open connections go silent", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		instances := c.fleet.Instances()
		c.fleet.Network.Blackhole(instances[rng.IntN(len(instances))].Address)
		entries := c.fleet.Entries()
		if len(entries) > 0 {
			c.fleet.Network.Blackhole(entries[rng.IntN(len(entries))].Entry.PeerAddress())
		}
	}}
	serviceLosesResponses = fault{"a plain service's answers get lost", func(c *chaos, rng *rand.Rand, d time.Duration) {
		for _, i := range c.fleet.Instances() {
			if i.Service != nil && rng.IntN(2) == 0 {
				i.Service.SetFaults(standin.ServiceFaults{LoseResponses: true, LatencyMS: rng.IntN(300)})
				time.Sleep(d)
				i.Service.SetFaults(standin.ServiceFaults{})
			}
		}
	}}
	entryCrash = fault{"an entry dies and is replaced", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		if m := c.takeEntry(rng); m != nil {
			m.Entry.Close()
			time.Sleep(time.Second)
			c.replace(m)
		}
	}}
	entryShutdown = fault{"an entry shuts down and is replaced", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		if m := c.takeEntry(rng); m != nil {
			c.replace(m)
			_ = m.Entry.Shutdown(c.ctx)
		}
	}}
	concurrentOperators = fault{"operators race", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		for range 4 {
			weight := rng.IntN(90) + 10
			c.background.Go(func() { c.editDefaults(weight) })
		}
	}}
)

// allFaults are the faults that every schedule draws from. Some are listed twice
// to be drawn more often.
var allFaults = []fault{
	memberCrash, memberCrash, memberPause, memberSlow, responsesCut, responsesCrossed, groupTurnsCold, domainOutage,
	platformDown, platformSlow, platformLosesResponses, zoneWithoutPlatform, zonePartition, entryPartition,
	silentConnections,
	serviceLosesResponses, entryCrash, entryShutdown, concurrentOperators,
}

// takeEntry removes a random entry from the list that callers use. It returns
// nil if fewer than four are left.
func (c *chaos) takeEntry(rng *rand.Rand) *fleet.Entry {
	entries := c.fleet.Entries()
	if len(entries) < 4 {
		return nil
	}
	m := entries[rng.IntN(len(entries))]
	c.fleet.Remove(m)
	return m
}

// replace starts a new entry in the zone of an old one.
func (c *chaos) replace(old *fleet.Entry) {
	c.mu.Lock()
	c.replacements++
	name := fmt.Sprintf("%s-r%d", old.Name, c.replacements)
	c.mu.Unlock()
	_, err := c.fleet.StartEntry(name, old.Zone)
	c.expect(err == nil, "start the replacement entry: %v", err)
}

// editDefaults changes the defaults through the operator API and records the
// accepted change.
func (c *chaos) editDefaults(weight int) {
	entries := c.fleet.Entries()
	client := c.fleet.Operator(entries[weight%len(entries)])
	read, err := client.Configuration(c.ctx)
	if err != nil {
		return
	}
	defaults := read.Defaults
	defaults.Weight = weight
	accepted, err := client.Apply(c.ctx, operator.Change{
		Base: read.Revision, Author: "chaos", Reason: "race", Kind: operator.KindDefaults, Name: "defaults",
		Defaults: &defaults,
	})
	if err != nil {
		return
	}
	c.mu.Lock()
	before, twice := c.accepted[accepted.Revision]
	c.accepted[accepted.Revision] = accepted
	c.mu.Unlock()
	c.expect(!twice || before.Attempt == accepted.Attempt, "revision %d was accepted twice", accepted.Revision)
}
