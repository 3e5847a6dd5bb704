// Package measure holds the measurements of the documentation as benchmarks.
// They start processes and take wall-clock time, so they are no tests: CI does
// not run them.
package measure
