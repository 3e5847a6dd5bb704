// Package admission implements weighted fair queueing of requests between
// organisations. The cost of a request is counted in tokens, and queues are
// bounded.
package admission
