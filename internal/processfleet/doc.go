// Package processfleet runs entries and stand-ins as separate processes, for
// tests and measurements only. The product itself starts no process.
package processfleet
