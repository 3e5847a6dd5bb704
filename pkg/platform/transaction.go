package platform

// Transaction is a compare-and-swap over several rows. Its writes take effect
// together if every comparison holds, and not at all otherwise.
type Transaction struct {
	// Compares lists the versions that the rows must have.
	Compares []Compare
	// Puts lists the rows to write.
	Puts []Put
	// Deletes lists the keys to remove.
	Deletes []string
}

// Compare holds if the row at Key has exactly Version; 0 means absent.
type Compare struct {
	Key     string
	Version int64
}

// Put writes Value at Key.
type Put struct {
	Key   string
	Value []byte
}

// Outcome reports what became of a transaction.
type Outcome struct {
	// Succeeded says whether the comparisons held and the writes took effect.
	Succeeded bool
	// Version is the version of all rows written, when Succeeded.
	Version int64
}
