package grouping

// Assignment is an instance's row in the platform's table. It names the group
// that the instance belongs to. An instance without a row is free.
type Assignment struct {
	Instance string
	Zone     string
	// Group is empty for an instance without a group.
	Group string
	// Generation is the highest fencing token that was issued for the instance.
	Generation uint64
	// Quarantined reports whether orders of an earlier owner may still arrive.
	Quarantined bool
	// Attempt is a unique ID of this write of the row.
	Attempt string
}

// AssignmentRow is an assignment and the version of its table row.
type AssignmentRow struct {
	Assignment
	Version int64
}

// Free reports whether the instance has no group and is not quarantined.
func (a Assignment) Free() bool {
	return a.Group == "" && !a.Quarantined
}
