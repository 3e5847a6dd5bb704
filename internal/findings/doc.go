// Package findings collects the errors in an input, with their positions, to
// report all of them at once.
package findings
