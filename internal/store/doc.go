// Package store abstracts the hosting platform's transactional table store.
// Rows are read as ranges, followed as a feed of changes, and written in
// conditional transactions. An adapter supplies the functions.
package store
