package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders names by their rendezvous hash for the key, the highest
// first. The order depends only on its arguments, so all entries agree on it. If
// a name is added or removed, only the keys for which it comes first move.
func Rendezvous(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		ha, hb := hash(key, a), hash(key, b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return 0
		}
	})
	return ordered
}

func hash(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
