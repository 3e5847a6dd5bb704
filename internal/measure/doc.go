// Package measure contains the measurements published in the documentation, as
// benchmarks and as tests that the -tables flag enables. They take long, and the
// benchmarks start processes and measure wall-clock time, so CI does not run them.
package measure
