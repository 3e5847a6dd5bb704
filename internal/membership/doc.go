// Package membership decides who holds a session. Every entry holds one
// session row in the platform's table and renews it; the session is a lease
// on all that the entry owns. No clocks are compared: the holder counts its
// term from before it sent a renewal, a contender from when it first saw the
// row unchanged, and only over time in which the platform answered it.
package membership
