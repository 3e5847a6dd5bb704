// Package gateway implements an entry instance, which forwards callers'
// requests to backend servers byte for byte. It follows the operators'
// configuration and the server records in the platform's store, places
// requests, and relays and resumes streams. While it holds the controller
// lease it also controls the replica groups of its zone.
package gateway
