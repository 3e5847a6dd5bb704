// Package processfleet runs entries and stand-ins as separate processes, for
// tests and measurements only. The product itself starts no other processes.
package processfleet
