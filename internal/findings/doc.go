// Package findings collects what is wrong with an input, each with its place,
// so that all of it is reported together.
package findings
