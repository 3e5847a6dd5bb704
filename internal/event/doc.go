// Package event defines the numbered log events. The meaning of a number never
// changes, and numbers are not reused. docs/events.md lists all events.
package event
