package platform

// Row is one row of the table.
type Row struct {
	// Key is the row's full key.
	Key string
	// Value is the row's content.
	Value []byte
	// Version is the table revision that last wrote the row; 0 means absent.
	Version int64
}
