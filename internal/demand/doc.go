// Package demand measures the work that model requests bring to replica groups, and
// combines what the entries of a zone report. It does no I/O and takes the time as an
// argument.
//
// Work is given in group-seconds per second: the number of replica groups that the
// requests keep busy.
package demand
