package grouping

import "github.com/hibiscuspulley/hibiscuspulley/pkg/platform"

// Change is a change of one group from its stored state to a new state.
type Change struct {
	// Before is the stored state. Its version is 0 for a new group.
	Before GroupRow
	After  Group
	// Removed lists the instances that leave the group.
	Removed []string
}

// NextGeneration returns a fencing token above those of the group and of all old
// and new members. An engine that moves to another group therefore never
// receives a lower token.
func (v View) NextGeneration(before Group, members []Member) uint64 {
	highest := before.Generation
	for _, m := range append(append([]Member(nil), before.Members...), members...) {
		highest = max(highest, v.Assignments[m.Instance].Generation)
	}
	return highest + 1
}

// Transaction returns the transaction that applies the change and quarantines
// the removed instances. It fails if the row of the group no longer has the
// version of c.Before, or if the row of an instance in c.After.Members or
// c.Removed no longer has its version in the view.
func (v View) Transaction(c Change) platform.Transaction {
	var txn platform.Transaction
	groupKey := GroupKey(v.Zone, c.After.Name)
	txn.Compares = append(txn.Compares, platform.Compare{Key: groupKey, Version: c.Before.Version})
	txn.Puts = append(txn.Puts, platform.Put{Key: groupKey, Value: EncodeGroup(c.After)})
	for _, m := range c.After.Members {
		v.addAssignment(&txn, Assignment{
			Instance: m.Instance, Zone: v.Zone, Group: c.After.Name,
			Generation: c.After.Generation, Attempt: c.After.Attempt,
		})
	}
	for _, instance := range c.Removed {
		v.addAssignment(&txn, v.released(instance, c.After.Generation, c.After.Attempt))
	}
	return txn
}

// DissolveTransaction returns the transaction that deletes the group's row and
// quarantines its members, under the group's next generation. It fails if one of
// these rows has changed.
func (v View) DissolveTransaction(g GroupRow, attempt string) platform.Transaction {
	groupKey := GroupKey(v.Zone, g.Name)
	txn := platform.Transaction{
		Compares: []platform.Compare{{Key: groupKey, Version: g.Version}},
		Deletes:  []string{groupKey},
	}
	for _, m := range g.Members {
		v.addAssignment(&txn, v.released(m.Instance, g.Generation+1, attempt))
	}
	return txn
}

// released returns the row of an instance that leaves its group. The instance is
// quarantined, because orders to it may still be in transit.
func (v View) released(instance string, generation uint64, attempt string) Assignment {
	return Assignment{
		Instance: instance, Zone: v.Zone,
		Generation: generation, Quarantined: true, Attempt: attempt,
	}
}

// UnquarantineTransaction returns the transaction that ends the quarantine of an
// instance. It fails if the instance's row has changed.
func UnquarantineTransaction(row AssignmentRow, attempt string) platform.Transaction {
	next := row.Assignment
	next.Quarantined = false
	next.Attempt = attempt
	key := AssignmentKey(row.Zone, row.Instance)
	return platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: row.Version}},
		Puts:     []platform.Put{{Key: key, Value: EncodeAssignment(next)}},
	}
}

// addAssignment adds the write of an assignment to the transaction. The row must
// still have the version in the view.
func (v View) addAssignment(txn *platform.Transaction, a Assignment) {
	key := AssignmentKey(v.Zone, a.Instance)
	version := v.Assignments[a.Instance].Version
	txn.Compares = append(txn.Compares, platform.Compare{Key: key, Version: version})
	txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: EncodeAssignment(a)})
}
