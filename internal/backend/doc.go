// Package backend is an HTTP/1.1 client for backend servers. It manages its own
// connections in order to report the stage that a failed exchange reached: a
// request of which no byte was written has certainly not run.
package backend
