// Package factory passes the streams, clients and settings that commands
// need, so that tests can replace them.
package factory

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Exit codes.
const (
	// ExitError means that the command failed.
	ExitError = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict = 3
	// ExitUnconfirmed means that a change is accepted but some entries have not
	// confirmed it.
	ExitUnconfirmed = 4
)

// Factory passes what commands need.
type Factory struct {
	// Out takes results, Err takes notes.
	Out io.Writer
	Err io.Writer
	// Context returns a context that ends at an interrupt or at SIGTERM.
	Context func() (context.Context, context.CancelFunc)
	// Operator returns a client of the entry that the flags name.
	Operator func() (*operator.Client, error)
	// Flags are the flags that all operator commands share.
	Flags Flags
}

// Flags are the flags that all operator commands share.
type Flags struct {
	// Entry is the URL of an entry's operator listener.
	Entry string
	// KeyFile holds the operators' key.
	KeyFile string
	// Author is named in the history of changes.
	Author string
	// JSON writes results for machines.
	JSON bool
	// Wait waits until a change is in force at every entry.
	Wait bool
	// WaitTimeout bounds that wait.
	WaitTimeout time.Duration
}

// New returns the Factory of the running program.
func New() *Factory {
	f := &Factory{Out: os.Stdout, Err: os.Stderr}
	f.Context = func() (context.Context, context.CancelFunc) {
		return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	}
	f.Operator = f.operatorClient
	return f
}

func (f *Factory) operatorClient() (*operator.Client, error) {
	if f.Flags.KeyFile == "" {
		return nil, errors.New("no operator key; set --key-file or HIBISCUSPULLEY_KEY_FILE")
	}
	key, err := settings.ReadSecret(f.Flags.KeyFile)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(f.Flags.Entry, key), nil
}

// WriteJSON writes a result for machines.
func (f *Factory) WriteJSON(value any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the result")
}
