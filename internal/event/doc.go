// Package event defines the numbered log events. Every number keeps its
// meaning for good; docs/events.md is the catalogue.
package event
