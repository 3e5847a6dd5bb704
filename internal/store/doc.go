// Package store is the seam to the hosting platform's transactional table:
// rows in tables, read as ranges, watched as a feed of changes and written in
// transactions under conditions. An adapter supplies the functions.
package store
