// Package settings reads an entry's settings file: JSON with comments. Every
// finding is reported with its line and column, all of them together.
package settings
