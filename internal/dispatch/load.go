package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// stallTimeout is how long a server may make no progress on any of this
	// entry's streams before it gets no new requests. A pass that prefills full
	// prompt chunks between five token steps takes under 0.3 s.
	stallTimeout = 500 * time.Millisecond
	// avoidDuration is how long other servers are preferred after a server
	// failed a request.
	avoidDuration = time.Second
	// minOpen and maxOpen bound how long the circuit breaker of a stalled or
	// unreachable server stays open before one trial request is allowed.
	minOpen = time.Second
	maxOpen = 8 * time.Second
	// trialPeriod is how long after its circuit breaker allows a trial a server is
	// still reported to other entries as stalled. Without a request of its own, this
	// entry makes no trial, and others must be able to.
	trialPeriod = time.Second
	// failureWeight is the weight of the latest outcome in the moving average
	// of a server's failure rate.
	failureWeight = 0.15
)

// load is the load and health of one server as this entry observes them.
type load struct {
	// inFlight is this entry's number of requests in flight, and begun the number of
	// those that have made progress.
	inFlight, begun int
	// slots is how many requests a replica group runs at the same time, and turn the
	// mean time until a slot of a full group becomes free. Both are 0 for other servers.
	slots int
	turn  time.Duration
	// peerInFlight is the number of requests in flight that the other entries, of
	// this and other zones, last reported.
	peerInFlight int
	// lastProgress is when a stream of this entry last advanced, or when this
	// entry sent the first request after none was in flight.
	lastProgress time.Time
	// provenAt is when the server last made progress on a request of this entry.
	provenAt time.Time
	// aliveAt is when the server last answered a probe of this entry, and peerAliveAt
	// when another entry last reported that it has seen a sign of life.
	aliveAt, peerAliveAt time.Time
	// trips counts the circuit breaker's trips since the last progress. While
	// it is above 0, the server gets one request at a time, after openUntil.
	trips     int
	openUntil time.Time
	// peerStalled is set if another entry reports that its streams at the server
	// are stalled or that its circuit breaker for the server has tripped.
	peerStalled bool
	// avoidUntil is until when other servers are preferred after a failure.
	avoidUntil time.Time
	// failureRate is the moving average of failed requests, from 0 to 1.
	failureRate float64
	// coldLimiter limits the request rate while the server is cold. It is nil if
	// this entry never had a share of the limit.
	coldLimiter *rate.Limiter
}

// stalled reports whether requests of this entry are in flight and none has
// advanced for longer than stallTimeout. Requests that have not begun at a full group
// wait for a slot, so they have as much more time as that takes.
func (l *load) stalled(now time.Time) bool {
	limit := stallTimeout
	if l.begun == 0 && l.slots > 0 {
		limit += time.Duration(max(l.totalInFlight()-l.slots, 0)) * l.turn
	}
	return l.inFlight > 0 && now.Sub(l.lastProgress) > limit
}

// reportStalled reports whether other entries should avoid the server: it is stalled, or
// its circuit breaker is open, or its trial is in flight or just due.
func (l *load) reportStalled(now time.Time) bool {
	return l.stalled(now) || (l.trips > 0 && (l.inFlight > 0 || now.Before(l.openUntil.Add(trialPeriod))))
}

// unresponsive reports whether the server must get no request now, because it
// is stalled, its circuit breaker is open or a trial request is in flight.
// Another entry's stall counts only without recent progress of this entry's
// streams.
func (l *load) unresponsive(now time.Time) bool {
	switch {
	case l.stalled(now):
		return true
	case l.trips > 0:
		return l.inFlight > 0 || now.Before(l.openUntil)
	default:
		return l.peerStalled && now.Sub(l.lastProgress) > stallTimeout/2
	}
}

// trip opens the circuit breaker for minOpen, and after each further trip
// without progress for twice as long, up to maxOpen. It has no effect while the
// breaker is open.
func (l *load) trip(now time.Time) {
	if now.Before(l.openUntil) {
		return // one stall ends many requests but counts once
	}
	l.openUntil = now.Add(min(minOpen<<min(l.trips, 8), maxOpen))
	l.trips++
}

// recordProgress sets lastProgress and closes the circuit breaker.
func (l *load) recordProgress(now time.Time) {
	l.lastProgress, l.provenAt, l.trips, l.openUntil = now, now, 0, time.Time{}
}

func (l *load) totalInFlight() int { return l.inFlight + l.peerInFlight }
