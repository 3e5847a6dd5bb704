package admission

import (
	"sync"
	"time"
)

// maxReturns limits the rejected requests that are remembered. An entry that rejects
// 2,000 requests a second for 2 s each reaches it.
const maxReturns = 4096

// Returns remembers when the callers of rejected requests may send them again. It is
// safe for concurrent use.
type Returns struct {
	mu sync.Mutex
	at map[string]time.Time
}

// NewReturns returns Returns without requests.
func NewReturns() *Returns { return &Returns{at: make(map[string]time.Time)} }

// Told records that the request was rejected and its caller asked to wait. Without an
// ID or a time it has no effect, nor when too many requests are remembered.
func (r *Returns) Told(now time.Time, request string, wait time.Duration) {
	if request == "" || wait <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.at) >= maxReturns {
		for id, at := range r.at {
			if !now.Before(at) {
				delete(r.at, id)
			}
		}
	}
	if len(r.at) < maxReturns {
		// The header has milliseconds, rounded.
		r.at[request] = now.Add(wait.Truncate(time.Millisecond))
	}
}

// Early reports whether the request is sent again before its caller was asked to.
func (r *Returns) Early(now time.Time, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.at[request]
	if !found {
		return false
	}
	if !now.Before(at) {
		delete(r.at, request)
		return false
	}
	return true
}
