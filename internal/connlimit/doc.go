// Package connlimit bounds the memory and the connections that clients can make a
// server hold. All listeners of a process share one Limiter, which charges each
// connection for its buffers, its request head, its request body and the response
// that waits for it. When memory is short, it closes the connection that has held
// most for longest without progress.
package connlimit
