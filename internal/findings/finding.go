package findings

import "fmt"

// Finding is an error in an input.
type Finding struct {
	// File, Line and Column are the position; Line and Column start at 1.
	File   string
	Line   int
	Column int
	// Message describes the error.
	Message string
	// Remedy describes how to fix it.
	Remedy string
}

// String returns the finding as FILE:LINE:COLUMN: message; remedy.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Message, f.Remedy)
}
