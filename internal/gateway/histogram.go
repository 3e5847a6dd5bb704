package gateway

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of a histogram's buckets in milliseconds:
// around the objectives of 300 to 500 ms, and up to a caller's whole time.
var bucketBounds = [...]int64{10, 25, 50, 100, 200, 300, 400, 500, 700, 1000, 2000, 4000, 8000}

// histogram counts durations in buckets. It is safe for concurrent use, and
// an expvar.Var.
type histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64
}

func (h *histogram) observe(d time.Duration) {
	ms := d.Milliseconds()
	for i, bound := range bucketBounds {
		if ms <= bound {
			h.buckets[i].Add(1)
			return
		}
	}
	h.buckets[len(bucketBounds)].Add(1)
}

// String returns how many durations were at most as long as each bound.
func (h *histogram) String() string {
	var b strings.Builder
	b.WriteByte('{')
	total := int64(0)
	for i, bound := range bucketBounds {
		total += h.buckets[i].Load()
		fmt.Fprintf(&b, "%q: %d, ", fmt.Sprint(bound), total)
	}
	total += h.buckets[len(bucketBounds)].Load()
	fmt.Fprintf(&b, "\"all\": %d}", total)
	return b.String()
}
