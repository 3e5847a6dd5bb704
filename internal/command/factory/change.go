package factory

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// confirmationPollInterval is the delay between two polls of the revisions in
// force at the entries.
const confirmationPollInterval = 200 * time.Millisecond

// Apply submits a change and prints the result. With --wait it waits until the
// change is in force at every entry, up to --wait-timeout.
func (f *Factory) Apply(ctx context.Context, client *operator.Client, change operator.Change) error {
	change.Author = f.Flags.Author
	accepted, err := client.Apply(ctx, change)
	if err != nil {
		return err
	}
	if accepted.Revision == 0 {
		fmt.Fprintln(f.Err, "the platform is unreachable: the change takes effect at every entry that it reaches through peers, and is recorded later")
		return f.writeAccepted(accepted, nil)
	}
	if !f.Flags.JSON {
		if _, err := fmt.Fprintf(f.Out, "revision %d accepted\n", accepted.Revision); err != nil {
			return err
		}
	}
	if !f.Flags.Wait {
		return f.writeAccepted(accepted, nil)
	}
	confirmations, waitErr := f.waitInForce(ctx, client, accepted.Revision)
	if err := f.writeAccepted(accepted, confirmations); err != nil {
		return err
	}
	return waitErr
}

// waitInForce polls until every entry confirms the revision. After the timeout
// it returns the last confirmations and ErrUnconfirmed.
func (f *Factory) waitInForce(ctx context.Context, client *operator.Client, revision uint64) ([]operator.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Flags.WaitTimeout)
	defer cancel()
	var last []operator.Confirmation
	for {
		confirmations, err := client.Confirmations(ctx)
		if err == nil {
			last = confirmations
			if inForce(confirmations, revision) {
				return last, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, ErrUnconfirmed
		case <-time.After(confirmationPollInterval):
		}
	}
}

func inForce(confirmations []operator.Confirmation, revision uint64) bool {
	for _, c := range confirmations {
		if !c.Reached || c.Revision < revision {
			return false
		}
	}
	return true
}

type acceptedWire struct {
	Revision  uint64   `json:"revision"`
	InForceAt []string `json:"in-force-at,omitempty"`
	Behind    []string `json:"behind,omitempty"`
	Unreached []string `json:"unreached,omitempty"`
}

func (f *Factory) writeAccepted(accepted operator.Change, confirmations []operator.Confirmation) error {
	w := acceptedWire{Revision: accepted.Revision}
	for _, c := range confirmations {
		switch {
		case !c.Reached:
			w.Unreached = append(w.Unreached, c.Entry)
		case c.Revision < accepted.Revision:
			w.Behind = append(w.Behind, c.Entry)
		default:
			w.InForceAt = append(w.InForceAt, c.Entry)
		}
	}
	if f.Flags.JSON {
		return f.WriteJSON(w)
	}
	for _, line := range []struct {
		label   string
		entries []string
	}{{"in force at", w.InForceAt}, {"behind", w.Behind}, {"could not be reached", w.Unreached}} {
		if len(line.entries) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(f.Out, "%s: %s\n", line.label, strings.Join(line.entries, ", ")); err != nil {
			return err
		}
	}
	return nil
}
