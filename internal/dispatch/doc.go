// Package dispatch selects the backend server for each request and queues
// requests while no server has capacity. Its inputs are the requests in flight
// at each server, the progress of their streams and the servers' records.
package dispatch
