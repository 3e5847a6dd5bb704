// Package quota keeps the requests of all entries together within the rates that
// backend servers name as their limits.
//
// A Book holds the limits. In each availability zone one entry, the zone's lead,
// allocates the requests that the zone's servers allow: it grants single requests to
// the entries that ask, for a short time. An entry sends to a server with a limit only
// with a grant, so that the sum holds however many entries there are, and a share that
// one entry doesn't need is not kept from another.
package quota
