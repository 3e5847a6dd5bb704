package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrConflict means that a condition of a transaction was not met and
	// nothing was written.
	ErrConflict = errors.New("a condition of the transaction is not met")
	// ErrHistoryCompacted means that the store no longer keeps the changes
	// after the requested version. The whole table must be read instead.
	ErrHistoryCompacted = errors.New("the store no longer keeps the requested history")
	// ErrUnavailable means that the store did not respond, or that it reported
	// a failure. After a transaction the outcome is unknown, unless the store
	// stated that nothing was written.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrRejected means that the store refused a call as invalid. Nothing was
	// written, and the same call will be refused again.
	ErrRejected = errors.New("the store rejected the call")
)

// Limits of one transaction.
const (
	// MaxTransactionRows is the largest number of conditions, puts and deletes.
	MaxTransactionRows = 100
	// MaxTransactionBytes is the largest size of an encoded transaction.
	MaxTransactionBytes = 1_000_000
)

// RowKey identifies a row.
type RowKey struct {
	Table string
	// Partition is the part of the table that holds the row. Writes to one
	// partition are serialised.
	Partition string
	Key       string
}

// Row is one row of a table.
type Row struct {
	RowKey
	Value []byte
	// Version is that of the last write of the row, or 0 if the row is absent. It grows
	// with each change, also if the store comes back from an older copy.
	Version int64
	// Deleted marks a deleted row in a feed.
	Deleted bool
}

// Page is the result of a read.
type Page struct {
	Rows []Row
	// More is set if the range has further rows.
	More bool
	// Version is the latest version of the whole store.
	Version int64
}

// Condition requires a row to have a version; 0 requires the row to be absent.
type Condition struct {
	RowKey
	Version int64
}

// Put writes a row.
type Put struct {
	RowKey
	Value []byte
}

// Transaction is applied completely or not at all. All its rows are in one
// partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []RowKey
	// ReadAt is the version of the store at which the conditions were learned. It is only
	// needed if all of them are that a row is absent.
	ReadAt int64
}

// Rows returns the number of rows that count towards MaxTransactionRows.
func (t Transaction) Rows() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Client accesses the store. Its functions are safe for concurrent use.
type Client struct {
	// Read returns the rows of a partition whose keys are at least from, in
	// ascending order and from one snapshot.
	Read func(ctx context.Context, table, partition, from string) (Page, error)
	// Feed returns the changes of a table after a version. It returns as soon
	// as there is a change, and without changes once wait has passed. It
	// returns ErrHistoryCompacted if the store no longer keeps those changes.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Commit applies a transaction and returns its version. It returns
	// ErrConflict if a condition is not met, and ErrRejected if the transaction
	// exceeds a limit.
	Commit func(ctx context.Context, t Transaction) (int64, error)
}

// withReadTimeout returns a client whose reads may take as long for each page.
func (c Client) withReadTimeout(d time.Duration) Client {
	read := c.Read
	c.Read = func(ctx context.Context, table, partition, from string) (Page, error) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return read(ctx, table, partition, from)
	}
	return c
}

// ReadAll returns all rows of a partition. It reads them in pages, which may come
// from different snapshots. The returned version is the one of the first page.
func (c Client) ReadAll(ctx context.Context, table, partition string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := c.Read(ctx, table, partition, from)
		if err != nil {
			return Page{}, err
		}
		all.Rows = append(all.Rows, page.Rows...)
		if all.Version == 0 {
			// Later pages can miss changes made between the reads, so the feed
			// starts at the version of the first page.
			all.Version = page.Version
		}
		if Era(page.Version) != Era(all.Version) {
			return Page{}, errors.Wrap(ErrUnavailable, "it came back from an older copy between two pages")
		}
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		// Continue at the next key in byte order.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
