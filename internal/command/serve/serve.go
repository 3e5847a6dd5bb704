// Package serve implements the serve command, which runs an entry instance.
package serve

import (
	"context"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/entry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// heapFraction is the fraction of the instance's memory above which the Go runtime
// collects garbage more often. The program's code and the kernel's buffers take the rest.
const heapFraction = 0.75

// Options holds the options of serve.
type Options struct {
	Factory *factory.Factory
	// SettingsFile is the path of the entry's settings file.
	SettingsFile string
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	cmd := app.Command("serve", "Run an entry instance until an interrupt or SIGTERM.\n\nExample:\n  hibiscuspulley serve --settings entry-a1.json")
	cmd.Flag("settings", "Settings file in JSON with comments.").Required().StringVar(&opts.SettingsFile)
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := f.Context()
		defer cancel()
		return Run(ctx, opts)
	})
}

// Run runs the entry until ctx is cancelled, then shuts it down gracefully.
func Run(ctx context.Context, opts *Options) error {
	s, err := settings.Load(opts.SettingsFile)
	if err != nil {
		return err
	}
	factory.OutliveOutput()
	s.Limits.Clients.SetDefaults()
	debug.SetMemoryLimit(int64(heapFraction * float64(s.Limits.Clients.MemoryBytes)))
	logger := logrus.New()
	logger.SetOutput(opts.Factory.Err)
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "read log-level")
	}
	logger.SetLevel(level)
	e, err := entry.New(s, entry.WithLogger(logger))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return e.Shutdown(context.WithoutCancel(ctx))
}
