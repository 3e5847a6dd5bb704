// Package membership implements the session of an entry. Every entry keeps one
// session row in the platform's table and renews it. The session is a lease on
// everything that the entry owns.
//
// Clocks of different machines are never compared. The holder counts its term
// from before it sent a renewal. A contender counts from when it first read the
// row unchanged, and only while the platform responds to its reads.
package membership
