package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// numberBits is the number of bits of a version that hold the store's own number.
const numberBits = 44

// RestoreGrace is how long after the store has come back from an older copy its other
// writers may take to write again what the copy lacks.
const RestoreGrace = 2 * time.Second

// ErrRestored means that the store came back from an older copy while a transaction was
// under way. The transaction may have been applied, also on a condition that another row
// meets now. It is an ErrUnavailable.
var ErrRestored = errors.Wrap(ErrUnavailable, "it came back from an older copy")

// MakeVersion returns the version for a number of the store in an era. A store that comes
// back from an older copy gives out numbers again, in the next era. So versions grow with
// each change, whatever the store has lost. In era 0 they are the store's numbers.
func MakeVersion(era, number int64) int64 { return era<<numberBits | number }

// Era returns the era of a version.
func Era(version int64) int64 { return version >> numberBits }

// Number returns the store's number of a version.
func Number(version int64) int64 { return version & (1<<numberBits - 1) }

// Source calls a store. Its versions are the store's numbers.
type Source struct {
	// Read, Feed and Commit are like those of Client. They return the era of the store's
	// answer also with an error, or -1 if there was no answer.
	Read   func(ctx context.Context, table, partition, from string) (page Page, era int64, err error)
	Feed   func(ctx context.Context, table string, after int64, wait time.Duration) (page Page, era int64, err error)
	Commit func(ctx context.Context, t Transaction) (number, era int64, err error)
}

// eraClient makes versions of a store's numbers.
type eraClient struct {
	source Source
	// era is the latest era that is known.
	era atomic.Int64
}

// NewClient returns a Client of the store.
func NewClient(s Source) Client {
	c := &eraClient{source: s}
	return Client{Read: c.read, Feed: c.feed, Commit: c.commit}
}

// learn records an era, and reports whether it is the latest one.
func (c *eraClient) learn(era int64) bool {
	for {
		known := c.era.Load()
		if era <= known {
			return era == known
		}
		if c.era.CompareAndSwap(known, era) {
			return true
		}
	}
}

// convert makes versions of the numbers of a page.
func (c *eraClient) convert(p Page, era int64, err error) (Page, error) {
	latest := c.learn(era)
	if err != nil {
		return Page{}, err
	}
	if !latest {
		return Page{}, errors.Wrapf(ErrUnavailable, "the answer is of era %d", era)
	}
	p.Version = MakeVersion(era, p.Version)
	for i := range p.Rows {
		p.Rows[i].Version = MakeVersion(era, p.Rows[i].Version)
	}
	return p, nil
}

func (c *eraClient) read(ctx context.Context, table, partition, from string) (Page, error) {
	return c.convert(c.source.Read(ctx, table, partition, from))
}

// feed returns ErrHistoryCompacted if after is of an older era than the store.
func (c *eraClient) feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	if !c.learn(Era(after)) {
		return Page{}, ErrHistoryCompacted
	}
	page, era, err := c.source.Feed(ctx, table, Number(after), wait)
	if era > Era(after) {
		c.learn(era)
		return Page{}, ErrHistoryCompacted
	}
	return c.convert(page, era, err)
}

// commit sends nothing and returns ErrConflict if a condition is of an older era than the
// store.
func (c *eraClient) commit(ctx context.Context, t Transaction) (int64, error) {
	known := c.era.Load()
	numbered := t
	numbered.Conditions = make([]Condition, 0, len(t.Conditions))
	learned := t.ReadAt
	for _, condition := range t.Conditions {
		learned = max(learned, condition.Version)
		if condition.Version != 0 && Era(condition.Version) < known {
			return 0, ErrConflict
		}
		condition.Version = Number(condition.Version)
		numbered.Conditions = append(numbered.Conditions, condition)
	}
	conditional := len(t.Conditions) > 0 && learned != 0
	if conditional && !c.learn(Era(learned)) {
		return 0, ErrConflict
	}
	number, era, err := c.source.Commit(ctx, numbered)
	if era >= 0 {
		c.learn(era)
	}
	switch {
	case errors.Is(err, ErrConflict), errors.Is(err, ErrRejected):
		return 0, err
	case conditional && era > Era(learned):
		return 0, ErrRestored
	case err != nil:
		return 0, err
	}
	return MakeVersion(era, number), nil
}
