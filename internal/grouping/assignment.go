package grouping

// Assignment is an instance's row in the platform's table: the one group that
// it belongs to. An instance without a row is free.
type Assignment struct {
	Instance string
	Zone     string
	// Group is empty for an instance that belongs to none.
	Group string
	// Generation is the highest fencing token that the instance was given.
	Generation uint64
	// Quarantined says that orders of an earlier owner may still arrive.
	Quarantined bool
	// Attempt tells this write from every other one.
	Attempt string
}

// AssignmentRow is an assignment with the version of its row.
type AssignmentRow struct {
	Assignment
	Version int64
}

// Free reports whether the instance can join a group.
func (a Assignment) Free() bool {
	return a.Group == "" && !a.Quarantined
}
