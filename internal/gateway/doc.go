// Package gateway wires an entry instance that passes callers' requests on to
// backend servers with their bytes unchanged: it follows the operators'
// configuration and the servers' entries in the platform's store, places
// requests, relays and resumes streams, and takes its zone's stewardship of
// replica groups when it holds the lease.
package gateway
