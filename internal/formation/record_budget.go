package formation

import "github.com/hibiscuspulley/hibiscuspulley/internal/store"

const (
	// MaxRecordChanges is the largest number of group records that one decision
	// creates and deletes. The transaction that writes them also has the condition on
	// the lease and its renewal.
	MaxRecordChanges = store.MaxTransactionRows - 2
	// maxRecordBytes limits the size of the new records of one decision. It leaves
	// room for their encoding in the transaction.
	maxRecordBytes = store.MaxTransactionBytes / 2
)

// recordBudget is what a decision's store write has room for.
type recordBudget struct{ records, bytes int }

// newRecordBudget returns the budget of a write that also deletes some records.
func newRecordBudget(deleted int) recordBudget {
	return recordBudget{records: MaxRecordChanges - deleted, bytes: maxRecordBytes}
}

func (b *recordBudget) take(g *Group) {
	b.records--
	b.bytes -= len(EncodeGroup(g))
}

func (b *recordBudget) spent() bool { return b.records <= 0 || b.bytes <= 0 }
