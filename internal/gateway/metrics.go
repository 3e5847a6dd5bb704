package gateway

import (
	"expvar"
	"strconv"
	"sync"
)

// metrics holds the entry's counters and histograms, served in expvar's format.
type metrics struct {
	vars        *expvar.Map
	requests    expvar.Int
	resumed     expvar.Int
	cut         expvar.Int
	budgetEmpty expvar.Int
	orders      expvar.Int
	probes      expvar.Int
	// crashes counts the server incarnations that were found to have crashed.
	crashes expvar.Int
	// heldBack counts the requests that were rejected because of a prompt part in
	// quarantine.
	heldBack expvar.Int
	// limitedSends counts the attempts at servers that name a request limit.
	limitedSends expvar.Int
	// limitGrants counts the requests at such servers that this entry granted others.
	limitGrants expvar.Int
	// groupsKept counts how often a group went on although a member lost its record,
	// and unrecordedSends the requests sent to servers without a record.
	groupsKept, unrecordedSends expvar.Int

	// paced counts the requests that waited because the starts of their model were
	// limited, and remoteSends the attempts at servers of other zones.
	paced, remoteSends expvar.Int

	// waited is the time that each attempt spent in the queue, whether or not it
	// got a reservation. first is the time to the first event of a stream, or to
	// its end if it has no events. served is the time to the end of a request
	// that is logged as served.
	waited, first, served histogram

	// earlyReturns counts the requests that callers sent again too early.
	earlyReturns expvar.Int

	mu       sync.Mutex
	statuses map[int]*expvar.Int
	// rejections counts the requests that were rejected without having run, by the
	// priority that servers would have been told.
	rejections map[int]*expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), statuses: make(map[int]*expvar.Int), rejections: make(map[int]*expvar.Int)}
	m.vars.Set("requests", &m.requests)
	m.vars.Set("streams-resumed", &m.resumed)
	m.vars.Set("streams-cut", &m.cut)
	m.vars.Set("repeat-budget-empty", &m.budgetEmpty)
	m.vars.Set("waiting-ms", &m.waited)
	m.vars.Set("first-event-ms", &m.first)
	m.vars.Set("served-ms", &m.served)
	m.vars.Set("orders", &m.orders)
	m.vars.Set("reports", &m.probes)
	m.vars.Set("server-crashes", &m.crashes)
	m.vars.Set("quarantine-rejections", &m.heldBack)
	m.vars.Set("limited-sends", &m.limitedSends)
	m.vars.Set("limit-grants", &m.limitGrants)
	m.vars.Set("groups-kept-without-record", &m.groupsKept)
	m.vars.Set("sends-without-record", &m.unrecordedSends)
	m.vars.Set("early-returns", &m.earlyReturns)
	m.vars.Set("starts-paced", &m.paced)
	m.vars.Set("sends-to-other-zones", &m.remoteSends)
	return m
}

// status counts a final response by its status. The counter's name is
// "answers-" and the status.
func (m *metrics) status(status int) { m.count(m.statuses, "answers-", status) }

// rejected counts a rejection by priority. The counter's name is
// "rejections-priority-" and the priority.
func (m *metrics) rejected(priority int) { m.count(m.rejections, "rejections-priority-", priority) }

func (m *metrics) count(counters map[int]*expvar.Int, name string, key int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := counters[key]
	if n == nil {
		n = new(expvar.Int)
		counters[key] = n
		m.vars.Set(name+strconv.Itoa(key), n)
	}
	n.Add(1)
}
