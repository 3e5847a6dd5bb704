// Package registry caches the records that backend servers publish about
// themselves: the service they run, whether they are leaving or cold, and the
// replica group they belong to.
package registry
