// Package registry keeps what backend servers say of themselves: which
// service they run, whether they are leaving or cold, and which replica group
// they belong to.
package registry
