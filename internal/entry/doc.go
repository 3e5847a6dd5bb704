// Package entry implements an entry instance: it connects the admission, permit,
// grouping and configuration logic to the network. All entries have the same
// role: each serves callers, operators and peers, and owns some of the replica
// groups of its own availability zone.
package entry
