package entry

import "time"

// minWriteInterval is the shortest time between two writes of one response. It
// is far below any objective for the time between tokens, and saves a read and
// a write per token of a fast response.
const minWriteInterval = 8 * time.Millisecond

// pacer limits the rate of writes of one response to one per minWriteInterval,
// so that tokens that arrive faster are batched. It never delays the first two
// writes.
type pacer struct {
	lastWrite time.Time
}

// wait delays the next read if the write at now came less than minWriteInterval
// after the previous one.
func (p *pacer) wait(now time.Time) {
	since := now.Sub(p.lastWrite)
	first := p.lastWrite.IsZero()
	p.lastWrite = now
	if first || since >= minWriteInterval {
		return
	}
	time.Sleep(minWriteInterval - since)
	p.lastWrite = time.Now()
}
