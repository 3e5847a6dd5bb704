// Package retry decides whether a failed request may be tried again.
package retry
