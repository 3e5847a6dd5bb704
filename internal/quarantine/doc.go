// Package quarantine finds the prompt parts that crash backend servers and
// decides which requests are held back because of them.
//
// A part is charged with a crash if a request with it waited for its first event
// when its server crashed. A response that has begun to arrive with the part
// clears it. Entries exchange both, so that all count the same crashes. A part
// with enough crashes from different requests and no success since is put in
// quarantine, which is recorded in the store. From time to time, one request of
// the whole fleet may try whether the part still crashes servers.
package quarantine
