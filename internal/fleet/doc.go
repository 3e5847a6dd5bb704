// Package fleet runs a whole fleet in one process: entries, and stand-ins for
// the platform, the engines and the plain services. The demo, the tests and
// the measurements share it.
package fleet
