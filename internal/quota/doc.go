// Package quota keeps the requests of all entries together within the rates that
// backend servers name as their limits.
package quota
