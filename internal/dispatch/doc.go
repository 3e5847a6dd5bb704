// Package dispatch decides which backend server a request goes to, and when:
// by what each server has in flight, by the progress of its streams and by
// what it says of itself.
package dispatch
