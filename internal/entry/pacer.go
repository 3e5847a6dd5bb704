package entry

import "time"

// paceInterval is the shortest time between two writes of one response. It is
// far below any objective for the time between tokens, and saves a read and a
// write per token of a fast response.
const paceInterval = 8 * time.Millisecond

// pacer limits the rate of writes of one response to one per paceInterval, so
// that tokens that arrive faster are batched. It never delays the first two
// writes.
type pacer struct {
	last time.Time
}

// wait delays the next read if the write at now came less than paceInterval after
// the previous one.
func (p *pacer) wait(now time.Time) {
	since := now.Sub(p.last)
	first := p.last.IsZero()
	p.last = now
	if first || since >= paceInterval {
		return
	}
	time.Sleep(paceInterval - since)
	p.last = time.Now()
}
