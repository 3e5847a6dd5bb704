// Package peer is the exchange between entries: CBOR messages over WebSocket.
//
// Each entry dials the peers that it needs and asks over that connection; the
// other side answers, and pushes revocations over the same connection. The
// regular exchange doubles as heartbeat.
package peer
