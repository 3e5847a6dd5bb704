// Package relay decides which entries follow the platform's store and pass its rows
// on to the other entries of their availability zone, and keeps the rows that they
// pass on.
//
// In a zone with many entries the strongest two are its relays. The first one
// follows the store; everybody else asks a relay for what has changed. There is no
// election: each entry works out the relays alone from the rows of the live entries,
// and an entry that reaches no relay with recent rows follows the store itself.
package relay
