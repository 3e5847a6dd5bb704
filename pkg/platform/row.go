package platform

// Row is one row of the table.
type Row struct {
	// Key is the row's full key.
	Key string
	// Value is the row's value.
	Value []byte
	// Version is the table revision at which the row was last written; 0 means
	// that the row does not exist.
	Version int64
}
