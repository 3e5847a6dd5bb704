package operator

import (
	"fmt"
	"strings"
)

// Problem is an error response of an entry to an operator's call.
type Problem struct {
	// Status is the HTTP status code.
	Status  int
	Message string
	// Details lists all validation errors of a change.
	Details []string
	// Conflict is the concurrent change that was accepted first.
	Conflict *Change
}

// Error implements error.
func (p *Problem) Error() string {
	text := p.Message
	if len(p.Details) > 0 {
		text += "\n  " + strings.Join(p.Details, "\n  ")
	}
	if c := p.Conflict; c != nil {
		text += fmt.Sprintf("\n  revision %d by %s wrote %s %s: %s", c.Revision, c.Author, c.Kind, c.Name, c.Reason)
	}
	return text
}
