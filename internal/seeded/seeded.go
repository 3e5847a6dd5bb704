// Package seeded makes property tests draw the same cases in every run.
package seeded

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the seed of all property tests, unless the command line sets one.
const seed = "20261204"

// Main runs a package's tests with a fixed seed and the given number of cases
// for each property. Both can be set on the command line, as -rapid.seed and
// -rapid.checks, for longer runs.
func Main(m *testing.M, checks int) int {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
		// A smaller seed is no simpler case.
		"rapid.shrinktime": "0s",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	return m.Run()
}
