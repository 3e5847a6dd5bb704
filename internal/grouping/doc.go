// Package grouping decides about replica groups: which instances form one,
// whether it is complete, who may take it over, and how it is repaired. An
// instance belongs to at most one group, because every change is one
// transaction over the group's row and the rows of all instances it touches.
package grouping
