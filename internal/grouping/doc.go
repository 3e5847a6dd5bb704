// Package grouping manages replica groups: it selects their members, checks
// from probes whether a group is complete, and builds the transactions that
// form, repair and dissolve groups. An instance belongs to at most one group,
// because every change is a single transaction over the rows of the group and
// of all affected instances.
package grouping
