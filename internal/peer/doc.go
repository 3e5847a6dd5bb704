// Package peer implements the protocol between entries: CBOR messages over
// WebSocket.
//
// An entry dials the peers that it needs and sends requests over the connection.
// The peer replies, and pushes revocations, over the same connection. The periodic
// exchange also serves as the heartbeat.
package peer
