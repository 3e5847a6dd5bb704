package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// engineFault gives one engine faults for a while.
func engineFault(name string, faults standin.EngineFaults) fault {
	return fault{name, func(c *chaos, rng *rand.Rand, d time.Duration) {
		i := c.anEngine(rng)
		i.Engine.SetFaults(faults)
		time.Sleep(d)
		i.Engine.SetFaults(standin.EngineFaults{})
	}}
}

// anEngine returns a random engine; every other time one that leads a group.
func (c *chaos) anEngine(rng *rand.Rand) *fleet.Instance {
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

// platformFault gives the platform faults for a while.
func platformFault(name string, faults standin.PlatformFaults) fault {
	return fault{name, func(c *chaos, _ *rand.Rand, d time.Duration) {
		c.fleet.Platform.SetFaults(faults)
		time.Sleep(d)
		c.fleet.Platform.SetFaults(standin.PlatformFaults{})
	}}
}

// cutFault cuts two places off from each other for a while.
func cutFault(name string, ends func(zones []string, rng *rand.Rand) (string, string)) fault {
	return fault{name, func(c *chaos, rng *rand.Rand, d time.Duration) {
		a, b := ends(c.fleet.Plan.Zones, rng)
		c.fleet.Network.Partition(a, b)
		time.Sleep(d)
		c.fleet.Network.EndPartition(a, b)
	}}
}

var (
	memberDies     = engineFault("a member dies and comes back", standin.EngineFaults{Dead: true})
	memberPauses   = engineFault("a member pauses", standin.EngineFaults{Paused: true})
	memberLags     = engineFault("a member is a straggler", standin.EngineFaults{Slow: 20})
	answersCut     = engineFault("answers break off", standin.EngineFaults{CutAfter: 3, RejectResume: true})
	answersCrossed = engineFault("answers cross", standin.EngineFaults{CrossResponses: true})

	platformDown   = platformFault("the platform is down", standin.PlatformFaults{Outage: true})
	platformSlow   = platformFault("the platform is slow", standin.PlatformFaults{LatencyMS: 700})
	platformForgot = platformFault("the platform's answers get lost", standin.PlatformFaults{LoseResponses: true})

	zoneOffPlatform = cutFault("a zone is cut off from the platform", func(zones []string, rng *rand.Rand) (string, string) {
		return zones[rng.IntN(len(zones))], fleet.PlatformZone
	})
	zonesApart = cutFault("two zones are cut off from each other", func(zones []string, rng *rand.Rand) (string, string) {
		a := rng.IntN(len(zones))
		return zones[a], zones[(a+1)%len(zones)]
	})

	entriesApart = fault{"two entries of a zone are cut off from each other", func(c *chaos, rng *rand.Rand, d time.Duration) {
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
	turnsCold = fault{"a group turns cold without a warning", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		c.anEngine(rng).Engine.TurnCold()
	}}
	domainDark = fault{"a fabric domain goes dark", func(c *chaos, rng *rand.Rand, d time.Duration) {
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
	connectionsSilent = fault{"open connections go silent", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		instances := c.fleet.Instances()
		c.fleet.Network.Blackhole(instances[rng.IntN(len(instances))].Address)
		entries := c.fleet.Entries()
		if len(entries) > 0 {
			c.fleet.Network.Blackhole(entries[rng.IntN(len(entries))].Entry.PeerAddress())
		}
	}}
	serviceForgets = fault{"a plain service's answers get lost", func(c *chaos, rng *rand.Rand, d time.Duration) {
		for _, i := range c.fleet.Instances() {
			if i.Service != nil && rng.IntN(2) == 0 {
				i.Service.SetFaults(standin.ServiceFaults{LoseResponses: true, LatencyMS: rng.IntN(300)})
				time.Sleep(d)
				i.Service.SetFaults(standin.ServiceFaults{})
			}
		}
	}}
	entryDies = fault{"an entry dies and is replaced", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		if m := c.take(rng); m != nil {
			m.Entry.Close()
			time.Sleep(time.Second)
			c.replace(m)
		}
	}}
	entryLeaves = fault{"an entry shuts down and is replaced", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		if m := c.take(rng); m != nil {
			c.replace(m)
			_ = m.Entry.Shutdown(c.ctx)
		}
	}}
	operatorsRace = fault{"operators race", func(c *chaos, rng *rand.Rand, _ time.Duration) {
		for range 4 {
			weight := rng.IntN(90) + 10
			c.background.Go(func() { c.editDefaults(weight) })
		}
	}}
)

// allFaults are the faults that the brief names.
var allFaults = []fault{
	memberDies, memberDies, memberPauses, memberLags, answersCut, answersCrossed, turnsCold, domainDark,
	platformDown, platformSlow, platformForgot, zoneOffPlatform, zonesApart, entriesApart,
	connectionsSilent,
	serviceForgets, entryDies, entryLeaves, operatorsRace,
}

// take removes a random entry from those that callers use.
func (c *chaos) take(rng *rand.Rand) *fleet.Member {
	entries := c.fleet.Entries()
	if len(entries) < 4 {
		return nil
	}
	m := entries[rng.IntN(len(entries))]
	c.fleet.Remove(m)
	return m
}

// replace starts a new entry in the place of an old one.
func (c *chaos) replace(old *fleet.Member) {
	c.mu.Lock()
	c.replaced++
	name := fmt.Sprintf("%s-r%d", old.Name, c.replaced)
	c.mu.Unlock()
	_, err := c.fleet.StartEntry(name, old.Zone)
	c.promise(err == nil, "the replacement did not start: %v", err)
}

// editDefaults changes the defaults as an operator does.
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
	c.promise(!twice || before.Attempt == accepted.Attempt, "revision %d was accepted twice", accepted.Revision)
}
