// Package fleet runs a complete fleet in one process: entries, and stand-ins for
// the platform, the engines and the plain services. The demo, the tests and
// the measurements use it.
package fleet
