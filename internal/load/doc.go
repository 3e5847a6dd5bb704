// Package load generates caller requests to entries and measures the responses.
package load
