package quarantine

import (
	"slices"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// crashesToConvict is the number of servers that must have crashed, and
	// requestsToConvict the number of different requests, before a part that is
	// not known to be sound is put in quarantine. A single request also has other
	// parts that are rare.
	crashesToConvict  = 3
	requestsToConvict = 2
	// A part that was served before may have been unlucky when many servers crash
	// for another reason. It needs one crash and one request more, and
	// controlSuccesses responses to other requests since its first crash, which
	// show that servers do not crash whatever they are sent.
	controlSuccesses = 10
	// settleTime is the time from the first crash until a part can be put in
	// quarantine. Successes of peers arrive within it.
	settleTime = 500 * time.Millisecond
	// crashMemory is how long a crash counts.
	crashMemory = 10 * time.Minute
	// crashesToSuspect is the number of crashes from which requests with a part
	// that was never served are not retried.
	crashesToSuspect = 2
	// maxSuspects limits the parts that are charged with crashes, and maxCrashes
	// the crashes that are kept of each.
	maxSuspects = 1024
	maxCrashes  = 8
	// maxChargedParts limits the parts that one request can charge.
	maxChargedParts = 64
)

// suspect is a part that is charged with crashes.
type suspect struct {
	// crashes holds the crashes since the last success, the oldest first, at most
	// one per server.
	crashes []charge
	// ownCrash is set if this entry noticed one of the crashes.
	ownCrash bool
	// successesBefore is the number of all successes at the first crash.
	successesBefore int
}

type charge struct {
	server  registry.Incarnation
	request string
	at      time.Time
}

func (s *suspect) charged(server registry.Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c charge) bool { return c.server == server })
}

func (s *suspect) requests() int {
	seen := make(map[string]bool, len(s.crashes))
	for _, c := range s.crashes {
		seen[c.request] = true
	}
	return len(seen)
}

// drop removes the charges that match.
func (s *suspect) drop(matches func(charge) bool) {
	s.crashes = slices.DeleteFunc(s.crashes, matches)
}

// convicted reports whether the charges suffice for a quarantine. servedBefore
// tells that the part was served before the first crash; successes counts all
// successes so far.
func (s *suspect) convicted(now time.Time, servedBefore bool, successes int) bool {
	if len(s.crashes) == 0 || now.Sub(s.crashes[0].at) < settleTime {
		return false
	}
	if servedBefore {
		return len(s.crashes) > crashesToConvict && s.requests() > requestsToConvict &&
			successes-s.successesBefore >= controlSuccesses
	}
	return len(s.crashes) >= crashesToConvict && s.requests() >= requestsToConvict
}
