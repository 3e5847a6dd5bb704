package grouping

import "github.com/hibiscuspulley/hibiscuspulley/pkg/platform"

// Change is a new state of a group and what its old state was.
type Change struct {
	// Before has version 0 for a group that does not exist yet.
	Before GroupRow
	After  Group
	// Removed lists the instances that leave the group.
	Removed []string
}

// NextGeneration returns a fencing token above all that the instances of the
// change were given, so that an engine never meets a lower one in another
// group.
func (v View) NextGeneration(before Group, members []Member) uint64 {
	highest := before.Generation
	for _, m := range append(append([]Member(nil), before.Members...), members...) {
		highest = max(highest, v.Assignments[m.Instance].Generation)
	}
	return highest + 1
}

// Transaction returns the one transaction that carries the change out: the
// group's row and the rows of all instances that join, stay or leave must be
// as the view shows them.
func (v View) Transaction(c Change) platform.Transaction {
	var txn platform.Transaction
	groupKey := GroupKey(v.Zone, c.After.Name)
	txn.Compares = append(txn.Compares, platform.Compare{Key: groupKey, Version: c.Before.Version})
	txn.Puts = append(txn.Puts, platform.Put{Key: groupKey, Value: EncodeGroup(c.After)})
	for _, m := range c.After.Members {
		v.assign(&txn, Assignment{
			Instance: m.Instance, Zone: v.Zone, Group: c.After.Name,
			Generation: c.After.Generation, Attempt: c.After.Attempt,
		})
	}
	for _, instance := range c.Removed {
		v.assign(&txn, v.released(instance, c.After.Generation, c.After.Attempt))
	}
	return txn
}

// Release returns the transaction that dissolves the group.
func (v View) Release(g GroupRow, attempt string) platform.Transaction {
	groupKey := GroupKey(v.Zone, g.Name)
	txn := platform.Transaction{
		Compares: []platform.Compare{{Key: groupKey, Version: g.Version}},
		Deletes:  []string{groupKey},
	}
	for _, m := range g.Members {
		v.assign(&txn, v.released(m.Instance, g.Generation+1, attempt))
	}
	return txn
}

// released returns the row of an instance that leaves its group. It stays in
// quarantine, since orders to it may still be under way.
func (v View) released(instance string, generation uint64, attempt string) Assignment {
	return Assignment{
		Instance: instance, Zone: v.Zone,
		Generation: generation, Quarantined: true, Attempt: attempt,
	}
}

// Unquarantine returns the transaction that frees an instance.
func Unquarantine(row AssignmentRow, attempt string) platform.Transaction {
	next := row.Assignment
	next.Quarantined = false
	next.Attempt = attempt
	key := AssignmentKey(row.Zone, row.Instance)
	return platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: row.Version}},
		Puts:     []platform.Put{{Key: key, Value: EncodeAssignment(next)}},
	}
}

func (v View) assign(txn *platform.Transaction, a Assignment) {
	key := AssignmentKey(v.Zone, a.Instance)
	version := v.Assignments[a.Instance].Version
	txn.Compares = append(txn.Compares, platform.Compare{Key: key, Version: version})
	txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: EncodeAssignment(a)})
}
