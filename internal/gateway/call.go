package gateway

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// rejectionPause is how long a request is not sent again to a server that has rejected it
// without running it.
const rejectionPause = 300 * time.Millisecond

// call is the state of one in-flight request of a caller.
type call struct {
	info         RequestInfo
	table        *routes.Table
	route        *routes.Route
	service      string
	organisation *routes.Organisation
	request      backend.Request
	started      time.Time
	// callerGone reports whether the caller has disconnected.
	callerGone func() bool
	// deadline is the latest time of the final response to the caller.
	deadline time.Time
	// tried holds the servers that were attempted, including those that could not be
	// reached, and until when they are not attempted again: see dispatch.Requirements. It
	// is replaced when it changes, because searches for a server hold it.
	tried map[string]time.Time
	// sent counts the failed attempts in which the server may have run the
	// request. It leaves out servers that could not be reached or that stated
	// that the request did not run.
	sent int
	// trial is set if the request is let through although one of its prompt parts
	// is in quarantine.
	trial bool
	// startedOn holds the server incarnations on which a stream started to run:
	// those that sent a forwarded event, or an error response that does not
	// state that the request did not run. It stays empty for plain requests.
	startedOn []registry.Incarnation
	// mu guards attemptNotes and reserved, which the attempts of a stream share.
	mu sync.Mutex
	// attemptNotes describes the attempts, the reasons to make no further one,
	// and invalid headers. It is logged with the request's outcome.
	attemptNotes []string
	// retryAfter is the estimated wait of a request that was rejected because
	// its queue is too long, as Gateway.retryAfter limits it, or after which the first server
	// takes requests again. Otherwise it is 0.
	retryAfter time.Duration
	// early is set if the caller has sent the request again before the time that it
	// was asked to wait.
	early bool
	// prediction is the last prediction of the request's wait, and predicted tells
	// whether there is one.
	prediction dispatch.Prediction
	predicted  bool
	// reserved is the memory that is reserved for the request's body and for
	// response bodies.
	reserved int64
	// delivered counts the events of a stream that were forwarded to the caller.
	delivered int
	// queued is how long the request has waited for capacity.
	queued time.Duration
	// firstAfter is when the first event was forwarded, counted from the request's
	// arrival; lastAt is the time of the last one, and longestPause the longest time
	// between two.
	firstAfter, longestPause time.Duration
	lastAt                   time.Time
}

func (c *call) addNote(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptNotes = append(c.attemptNotes, text)
}

// setTried records that a server is not attempted again before the given time, or never
// again if it is zero.
func (c *call) setTried(id string, until time.Time) {
	c.tried = maps.Clone(c.tried)
	c.tried[id] = until
}

// needsNewConn reports whether the request must go to the server on a new connection. On a
// reused one, the rejection of a request that the server has rejected before may be a copy,
// while it runs now.
func (c *call) needsNewConn(id string) bool {
	_, tried := c.tried[id]
	return tried || !c.route.Retryable()
}

// setRejected records that a server has rejected the request without running it. One that
// is full may have room later. 421 says that it is another server, or has other weights.
func (c *call) setRejected(id string, status int) {
	if status != http.StatusMisdirectedRequest {
		c.setTried(id, time.Now().Add(rejectionPause))
	}
}

// notes returns the notes as one line.
func (c *call) notes() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.attemptNotes, "; ")
}

// addReserved records memory that is reserved until the end of the request.
func (c *call) addReserved(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved += n
}

// recordForwarded records the time at which an event was forwarded.
func (c *call) recordForwarded(now time.Time) {
	if c.delivered == 0 {
		c.firstAfter = now.Sub(c.started)
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	c.delivered++
}
