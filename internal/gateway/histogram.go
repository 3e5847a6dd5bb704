package gateway

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// bucketBoundsMs are the upper bounds of the buckets in milliseconds. They are
// dense around the objectives of 300 to 500 ms and reach up to a caller's whole
// timeout.
var bucketBoundsMs = [...]int64{10, 25, 50, 100, 200, 300, 400, 500, 700, 1000, 2000, 4000, 8000}

// histogram counts durations in buckets. It is safe for concurrent use and
// implements expvar.Var.
type histogram struct {
	buckets [len(bucketBoundsMs) + 1]atomic.Int64
}

func (h *histogram) observe(d time.Duration) {
	ms := d.Milliseconds()
	for i, bound := range bucketBoundsMs {
		if ms <= bound {
			h.buckets[i].Add(1)
			return
		}
	}
	h.buckets[len(bucketBoundsMs)].Add(1)
}

// String returns a JSON object with the number of durations up to each bound, in
// milliseconds, and the number of all durations as "all".
func (h *histogram) String() string {
	var b strings.Builder
	b.WriteByte('{')
	total := int64(0)
	for i, bound := range bucketBoundsMs {
		total += h.buckets[i].Load()
		fmt.Fprintf(&b, "%q: %d, ", fmt.Sprint(bound), total)
	}
	total += h.buckets[len(bucketBoundsMs)].Load()
	fmt.Fprintf(&b, "\"all\": %d}", total)
	return b.String()
}
