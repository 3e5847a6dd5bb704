package platform

// Transaction is an atomic compare-and-swap over several rows. If every
// comparison holds, all writes take effect; otherwise none does.
type Transaction struct {
	// Compares lists the versions that rows must have.
	Compares []Compare
	// Puts lists the rows to write.
	Puts []Put
	// Deletes lists the keys to remove.
	Deletes []string
}

// Compare holds if the row at Key has exactly Version; 0 means that the row does
// not exist.
type Compare struct {
	Key     string
	Version int64
}

// Put writes Value at Key.
type Put struct {
	Key   string
	Value []byte
}

// Outcome is the result of a transaction.
type Outcome struct {
	// Succeeded is set if the comparisons held and the writes took effect.
	Succeeded bool
	// Version is the version of all written rows if Succeeded is set.
	Version int64
}
