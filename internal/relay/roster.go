package relay

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

const (
	// relaysPerZone is the number of relays of a zone with more than smallZone
	// entries. The second one takes over when the first one fails.
	relaysPerZone = 2
	// smallZone is the largest number of entries of a zone that all follow the
	// store. So few calls cost less than waiting for a relay that has failed.
	smallZone = 4
)

// Entry is a live entry.
type Entry struct {
	Name string
	Zone string
	// Address is where the entry serves its peers.
	Address string
	// Strength is the entry's share of processor time.
	Strength float64
}

// Role is what an entry does for its zone.
type Role struct {
	// Direct entries follow the store themselves.
	Direct bool
	// Hub entries exchange loads with the hubs of all zones: the relays, and every
	// entry of a small zone.
	Hub bool
	// Upstreams are the relays to ask, the preferred one first. It is empty for
	// Direct entries.
	Upstreams []Entry
	// Hubs are the hubs of all zones, also the entry itself if it is one.
	Hubs []Entry
}

// Choose returns the role of the entry with a name among the live entries. An entry
// that is not among them, or has no address for peers, follows the store itself.
func Choose(self string, live []Entry) Role {
	zones := make(map[string][]Entry)
	var own Entry
	for _, e := range live {
		if e.Name == self {
			own = e
		}
		if e.Address != "" {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	var role Role
	for zone, entries := range zones {
		role.Hubs = append(role.Hubs, hubs(entries, zone)...)
	}
	slices.SortFunc(role.Hubs, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	role.Hub = slices.ContainsFunc(role.Hubs, func(e Entry) bool { return e.Name == self })
	relays := hubs(zones[own.Zone], own.Zone)
	if own.Address == "" || len(zones[own.Zone]) <= smallZone || relays[0].Name == self {
		role.Direct = true
		return role
	}
	if role.Hub {
		role.Upstreams = relays[:1]
		return role
	}
	role.Upstreams = preferred(self, relays)
	return role
}

// Rank returns the entries of a zone, the strongest first. Every entry ranks the same
// entries alike.
func Rank(entries []Entry, zone string) []Entry {
	ranked := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Zone != zone })
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// hubs returns the hubs among a zone's entries, the strongest first.
func hubs(entries []Entry, zone string) []Entry {
	ranked := Rank(entries, zone)
	if len(ranked) <= smallZone {
		return ranked
	}
	return ranked[:relaysPerZone]
}

// preferred orders a zone's relays by rendezvous hashing, so that each of them
// serves about as many entries.
func preferred(self string, relays []Entry) []Entry {
	byName := make(map[string]Entry, len(relays))
	names := make([]string, 0, len(relays))
	for _, e := range relays {
		byName[e.Name] = e
		names = append(names, e.Name)
	}
	ordered := make([]Entry, 0, len(relays))
	for _, name := range routing.Rendezvous(self, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// Fingerprint returns a value that differs for different lists of live entries,
// whatever their order.
func Fingerprint(live []Entry) uint64 {
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	h := fnv.New64a()
	for _, e := range sorted {
		// Writes to a hash never fail.
		for _, text := range []string{e.Name, e.Zone, e.Address} {
			_, _ = h.Write(append([]byte(text), 0))
		}
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, math.Float64bits(e.Strength)))
	}
	return h.Sum64()
}
