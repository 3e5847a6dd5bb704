package entry

import "time"

// paceInterval is the shortest time between two deliveries of one answer. It
// is far below any objective for the time between tokens, and spares a read
// and a write for each token of a fast answer.
const paceInterval = 8 * time.Millisecond

// pacer gathers the tokens of an answer that come faster than paceInterval.
// The first two deliveries are never held up.
type pacer struct {
	last time.Time
}

// wait holds the next read up if the delivery at now followed too soon on the
// one before.
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
