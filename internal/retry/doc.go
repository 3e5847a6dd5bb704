// Package retry limits the rate of retries.
package retry
