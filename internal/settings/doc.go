// Package settings loads and validates an entry's settings file, which is JSON with
// comments. All validation errors are reported together, each with its line and
// column.
package settings
