package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders names by their weight for a key, the heaviest first.
// Every entry computes the same order, and a name that comes or goes moves
// only the keys that it wins.
func Rendezvous(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		wa, wb := weight(key, a), weight(key, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return 0
		}
	})
	return ordered
}

func weight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
