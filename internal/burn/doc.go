// Package burn counts the requests that met and missed their service-level
// objectives and computes error budget burn rates. The counts are kept in memory
// only.
package burn
