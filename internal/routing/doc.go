// Package routing implements rendezvous hashing.
package routing
