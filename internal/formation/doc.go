// Package formation is the controller for the replica groups of one
// availability zone. It decides which groups to form, which order each backend
// server needs next, and when a server may join another group.
//
// Two invariants hold at every step. A group is opened only after every member
// has reported ready under the group's name and epoch. A member joins another
// group only after the leader of its old group has left that group, or after
// the leader's incarnation has ended.
package formation
