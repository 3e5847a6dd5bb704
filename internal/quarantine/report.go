package quarantine

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Crash says that a request with the part waited for its first event when the
// server crashed.
type Crash struct {
	Part   string
	Server registry.Incarnation
	// Request identifies the request across retries of its caller.
	Request string
	// Age is how long ago the crash was noticed.
	Age time.Duration
}

// Success says that a response to a request with the part began to arrive and
// its server went on.
type Success struct {
	Part string
	Age  time.Duration
}

// Report is what an entry tells the others.
type Report struct {
	Crashes   []Crash
	Successes []Success
}

const (
	// reportPeriod is how long an item is reported. Entries exchange reports
	// several times in this period; an item that a peer misses nevertheless
	// reaches it through the store once its part is in quarantine.
	reportPeriod = 3 * time.Second
	// maxReported limits the items of each kind in a report.
	maxReported = 64
	// forwardAgain is how much later than the last one a peer's success with the
	// same part must be to be passed on. Ages grow a little at each entry that they
	// pass.
	forwardAgain = time.Second
)

// outbox holds the entry's own items to report, the oldest first.
type outbox struct {
	crashes   []ownCrash
	successes []ownSuccess
}

type ownCrash struct {
	crash Crash
	at    time.Time
}

type ownSuccess struct {
	part       string
	at         time.Time
	reportedAt time.Time
}

func (o *outbox) addCrash(c Crash, at time.Time) {
	o.crashes = append(lastItems(o.crashes, maxReported-1), ownCrash{c, at})
}

// addSuccess adds a success, or replaces the one with the same part.
func (o *outbox) addSuccess(part string, at, now time.Time) {
	for i := range o.successes {
		if o.successes[i].part == part {
			o.successes[i].at, o.successes[i].reportedAt = at, now
			return
		}
	}
	o.successes = append(lastItems(o.successes, maxReported-1), ownSuccess{part, at, now})
}

// forward adds the items of a peer's report that are not there yet.
func (o *outbox) forward(r Report, now time.Time) {
	for _, c := range r.Crashes {
		known := slices.ContainsFunc(o.crashes, func(own ownCrash) bool {
			return own.crash.Part == c.Part && own.crash.Server == c.Server && own.crash.Request == c.Request
		})
		if !known {
			o.addCrash(Crash{Part: c.Part, Server: c.Server, Request: c.Request}, now.Add(-c.Age))
		}
	}
	for _, s := range r.Successes {
		at := now.Add(-s.Age)
		known := slices.ContainsFunc(o.successes, func(own ownSuccess) bool {
			return own.part == s.Part && at.Sub(own.at) < forwardAgain
		})
		if !known {
			o.addSuccess(s.Part, at, now)
		}
	}
}

func lastItems[T any](items []T, n int) []T {
	return items[max(len(items)-n, 0):]
}

func (o *outbox) report(now time.Time) Report {
	var r Report
	for _, c := range o.crashes {
		if age := now.Sub(c.at); age < reportPeriod {
			c.crash.Age = age
			r.Crashes = append(r.Crashes, c.crash)
		}
	}
	for _, s := range o.successes {
		if now.Sub(s.reportedAt) < reportPeriod {
			r.Successes = append(r.Successes, Success{Part: s.part, Age: now.Sub(s.at)})
		}
	}
	return r
}
