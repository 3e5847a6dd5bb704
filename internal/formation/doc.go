// Package formation decides about the replica groups of one availability zone
// whose backend servers take orders step by step: which groups to form, which
// order each server needs next, and when a server may join another group.
//
// Two promises bind every step. A group is opened only after each member has
// said that it is ready under the group's name and epoch. A member joins
// another group only after the leader of its old one has left it, or after
// the leader's lifetime is over.
package formation
