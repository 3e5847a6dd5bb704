package operator

import (
	"fmt"
	"strings"
)

// Problem is an entry's refusal of an operator's call.
type Problem struct {
	// Status is the HTTP status code.
	Status  int
	Message string
	// Details lists everything wrong with a change.
	Details []string
	// Conflict is the change that came first.
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
