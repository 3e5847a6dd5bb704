// Package backend speaks HTTP/1.1 to backend servers over connections of its
// own, so that for each exchange it is known how far it came: a request of
// which no byte was written has certainly not run.
package backend
