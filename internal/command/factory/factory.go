// Package factory provides the dependencies of the commands: output streams,
// the operator client and shared flags. Tests replace them.
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
	// ExitConflict means that a concurrent change of the same entity was accepted
	// first.
	ExitConflict = 3
	// ExitUnconfirmed means that a change is accepted but some entries have not
	// confirmed it.
	ExitUnconfirmed = 4
)

// Factory holds the dependencies of the commands.
type Factory struct {
	// Out receives results.
	Out io.Writer
	// Err receives messages and usage texts.
	Err io.Writer
	// Context returns a context that is cancelled on an interrupt or SIGTERM.
	Context func() (context.Context, context.CancelFunc)
	// Operator returns a client of the entry in Flags.
	Operator func() (*operator.Client, error)
	// Flags holds the flags that all operator commands share.
	Flags Flags
}

// Flags holds the flags that all operator commands share.
type Flags struct {
	// Entry is the URL of an entry's operator listener.
	Entry string
	// KeyFile is the path of a file with the operators' key.
	KeyFile string
	// Author is recorded in the history of changes.
	Author string
	// JSON selects JSON output instead of tables.
	JSON bool
	// Wait makes changes wait until they are in force at every entry.
	Wait bool
	// WaitTimeout bounds that wait.
	WaitTimeout time.Duration
}

// OutliveOutput keeps the process alive when the reader of its standard output or standard
// error has gone. Writes to them fail then. Commands that only print end instead.
func OutliveOutput() { signal.Ignore(syscall.SIGPIPE) }

// New returns a Factory with the standard streams, signal handling and a
// client that is configured by the flags.
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

// WriteJSON writes a result to Out as indented JSON.
func (f *Factory) WriteJSON(value any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the result")
}
