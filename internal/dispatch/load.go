package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// stallAfter is how long no stream of a busy server may advance before it
	// gets no new requests. A pass that reads full chunks of prompts between
	// five token steps takes under 0.3 s.
	stallAfter = 500 * time.Millisecond
	// avoidFor is how long a server that failed a request is passed over while
	// others have room.
	avoidFor = time.Second
	// firstTrip and longestTrip bound how long a server that stood still or
	// could not be reached gets nothing; then one request tries it.
	firstTrip   = time.Second
	longestTrip = 8 * time.Second
	// failureWeight is the part of the latest outcome in a server's failure
	// rate.
	failureWeight = 0.15
)

// load is what an entry knows of one server's load and health.
type load struct {
	inFlight int
	// elsewhere is what the zone's other entries have in flight there.
	elsewhere int
	// progress is when any stream last advanced, or when the server last
	// became busy.
	progress time.Time
	// trips counts stand-stills since the last progress; while there is one,
	// the server gets one request at a time, after trippedUntil.
	trips        int
	trippedUntil time.Time
	// stalledElsewhere says that a neighbour's streams stand still there.
	stalledElsewhere bool
	// avoidUntil is set by failures.
	avoidUntil time.Time
	// failures is the recent share of failed requests.
	failures float64
	// cold paces requests while the server is cold.
	cold *rate.Limiter
}

func (l *load) stalled(now time.Time) bool {
	return l.inFlight > 0 && now.Sub(l.progress) > stallAfter
}

// suspect reports whether the server may get no request now.
func (l *load) suspect(now time.Time) bool {
	switch {
	case l.stalled(now):
		return true
	case l.trips > 0:
		return l.inFlight > 0 || now.Before(l.trippedUntil)
	default:
		return l.stalledElsewhere && now.Sub(l.progress) > stallAfter/2
	}
}

func (l *load) trip(now time.Time) {
	if now.Before(l.trippedUntil) {
		return // one stand-still ends many requests
	}
	l.trippedUntil = now.Add(min(firstTrip<<min(l.trips, 8), longestTrip))
	l.trips++
}

func (l *load) advance(now time.Time) {
	l.progress, l.trips, l.trippedUntil = now, 0, time.Time{}
}

func (l *load) total() int { return l.inFlight + l.elsewhere }
