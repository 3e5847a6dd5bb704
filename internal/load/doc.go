// Package load calls entries as callers do and measures what they see.
package load
