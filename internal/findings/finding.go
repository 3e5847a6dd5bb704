package findings

import "fmt"

// Finding is one thing wrong with an input.
type Finding struct {
	// File, Line and Column say where; Line and Column count from 1.
	File   string
	Line   int
	Column int
	// Message says what is wrong.
	Message string
	// Remedy says what to do.
	Remedy string
}

// String returns the finding as FILE:LINE:COLUMN: message; remedy.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Message, f.Remedy)
}
