// Package entry wires the decision logic into a running entry instance. All
// entries are equal: each serves callers, operators and peers, and owns some
// of the replica groups of its own availability zone.
package entry
