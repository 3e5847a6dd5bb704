package config

import (
	"maps"
	"slices"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ProvisionalOrder is an order that an entry accepted while the platform could not
// be reached: a zone out or in, or a mark on an instance. It holds at all
// entries that it reaches, and becomes a change once the platform is back,
// unless another change of the same entity came first.
type ProvisionalOrder struct {
	// Number orders the provisional orders of one entity.
	Number uint64
	Change operator.Change
}

// CanBeProvisional reports whether a change may hold before the table has it.
func CanBeProvisional(c operator.Change) bool {
	return !c.Deleted && (c.Kind == operator.KindZone || c.Kind == operator.KindInstance)
}

// ended reports whether the entity has changed in the table since the order.
func (p ProvisionalOrder) ended(committed *State) bool {
	last, found := committed.LastChange(p.Change.Kind, p.Change.Name)
	return found && last.Revision > p.Change.Base
}

// before reports whether p is the older of two orders of one entity.
func (p ProvisionalOrder) before(other ProvisionalOrder) bool {
	if p.Number != other.Number {
		return p.Number < other.Number
	}
	return p.Change.Attempt < other.Change.Attempt
}

// provisionals holds the newest order of each entity.
type provisionals map[entity]ProvisionalOrder

// add takes an order over if it is newer than the known one of its entity and
// has not ended already: an order that has must not displace one that holds.
func (m provisionals) add(p ProvisionalOrder, committed *State) bool {
	key := entity{p.Change.Kind, p.Change.Name}
	known, found := m[key]
	if found && !known.before(p) || p.ended(committed) {
		return false
	}
	m[key] = p
	return true
}

func (m provisionals) highest() uint64 {
	highest := uint64(0)
	for _, p := range m {
		highest = max(highest, p.Number)
	}
	return highest
}

// settle drops the orders whose entity has changed in the table since: by the
// order itself, which is recorded now, or by a change that came first.
func (m provisionals) settle(committed *State) {
	maps.DeleteFunc(m, func(_ entity, p ProvisionalOrder) bool {
		return p.ended(committed)
	})
}

// over returns the state with the orders applied, at the same revision.
func (m provisionals) over(committed *State) *State {
	s := committed
	for _, p := range m {
		s = s.with(p.Change)
	}
	if s != committed {
		s.revision = committed.revision
		s.last = committed.last
	}
	return s
}

func (m provisionals) list() []ProvisionalOrder {
	list := slices.Collect(maps.Values(m))
	slices.SortFunc(list, func(a, b ProvisionalOrder) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return list
}
