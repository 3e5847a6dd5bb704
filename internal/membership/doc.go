// Package membership implements the session of an entry. Every entry keeps one
// session row in the platform's table and renews it. The session is a lease on
// everything that the entry owns.
//
// Clocks of different machines are never compared. The holder counts its term
// from before it sent a renewal. A contender counts from when it sent the read
// that first returned the row's current state. It starts again after an interval
// of more than half a term without a response of the platform.
package membership
