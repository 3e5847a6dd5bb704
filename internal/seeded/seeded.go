// Package seeded runs property tests with a fixed seed, so that every run checks
// the same cases.
package seeded

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the default seed of all property tests.
const seed = "20261204"

// Main runs a package's tests with a fixed seed and the given number of cases per
// property. The flags -rapid.seed and -rapid.checks override them, for longer
// runs.
func Main(m *testing.M, checks int) int {
	flag.Parse()
	setByUser := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setByUser[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
		// No shrinking: most properties draw a seed, and a smaller seed is not a
		// simpler case.
		"rapid.shrinktime": "0s",
	} {
		if setByUser[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	return m.Run()
}
