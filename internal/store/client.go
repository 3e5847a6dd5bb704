package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrConflict means that a condition of a transaction did not hold, so
	// that nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrHistoryGone means that the changes after the asked version are no
	// longer kept; the table must be read as a whole.
	ErrHistoryCompacted = errors.New("the store no longer keeps that history")
	// ErrUnavailable means that the store did not answer, or answered that it
	// did nothing. After a transaction, nothing is known of its outcome unless
	// the store said so.
	ErrUnavailable = errors.New("the store is unavailable")
)

// RowKey names a row.
type RowKey struct {
	Table string
	// Part is the table's partition; rows of one part are written one after
	// another.
	Partition string
	Key       string
}

// Row is one row of a table.
type Row struct {
	RowKey
	Value []byte
	// Version is the store's counter at the row's last write; 0 means absent.
	Version int64
	// Deleted marks a dropped row in a feed.
	Deleted bool
}

// Page is the answer to a read.
type Page struct {
	Rows []Row
	// More says that the range holds further rows.
	More bool
	// Version is the newest version of the whole store.
	Version int64
}

// Condition demands that a row has a version; 0 demands that it is absent.
type Condition struct {
	RowKey
	Version int64
}

// Put writes a row.
type Put struct {
	RowKey
	Value []byte
}

// Transaction is applied as a whole or not at all. Its rows share one part.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []RowKey
}

// Client reaches the store. Its functions are safe for concurrent use.
type Client struct {
	// Read returns the rows of a part whose keys are at least from, in
	// ascending order, as of one moment.
	Read func(ctx context.Context, table, part, from string) (Page, error)
	// Feed returns the changes of a table after a version as soon as there is
	// one, or none once wait has passed.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Commit applies a transaction and returns its version.
	Commit func(ctx context.Context, t Transaction) (int64, error)
}

// ReadAll returns all rows of a part.
func (c Client) ReadAll(ctx context.Context, table, part string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := c.Read(ctx, table, part, from)
		if err != nil {
			return Page{}, err
		}
		all.Rows = append(all.Rows, page.Rows...)
		if all.Version == 0 {
			// Later pages may miss changes between the two reads; the feed
			// starts at the first page's version.
			all.Version = page.Version
		}
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		// The next key in byte order.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
