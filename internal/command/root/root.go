// Package root assembles the command-line application.
package root

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/bench"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/demo"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/group"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/instance"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/organisation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/report"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/serve"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/service"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/status"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/zone"
)

const defaultWaitTimeout = 20 * time.Second

// New returns the application with all its commands.
func New(f *factory.Factory) *kingpin.Application {
	app := kingpin.New("hibiscuspulley", "Serve language models whose replicas span several instances.")
	app.HelpFlag.Short('h')
	app.UsageWriter(f.Err)
	app.ErrorWriter(f.Err)
	addFlags(app, f)
	serve.New(app, f)
	gateway.New(app, f)
	settings.New(app, f)
	service.New(app, f)
	group.New(app, f)
	organisation.New(app, f)
	zone.New(app, f)
	instance.New(app, f)
	config.New(app, f)
	quarantine.New(app, f)
	status.New(app, f)
	report.New(app, f)
	demo.New(app, f)
	bench.New(app, f)
	return app
}

// addFlags adds the application's flags, which the operator commands share.
func addFlags(app *kingpin.Application, f *factory.Factory) {
	flags := &f.Flags
	app.Flag("entry", "URL of an entry's operator listener.").
		Default("http://127.0.0.1:8081").Envar("HIBISCUSPULLEY_ENTRY").StringVar(&flags.Entry)
	app.Flag("key-file", "File with the operators' key.").
		Envar("HIBISCUSPULLEY_KEY_FILE").StringVar(&flags.KeyFile)
	app.Flag("author", "Author to record in the history of changes.").
		Default(os.Getenv("USER")).Envar("HIBISCUSPULLEY_AUTHOR").StringVar(&flags.Author)
	app.Flag("json", "Print results as JSON.").BoolVar(&flags.JSON)
	app.Flag("wait", "Wait until every entry confirms the change.").BoolVar(&flags.Wait)
	app.Flag("wait-timeout", "Timeout of --wait.").Default(defaultWaitTimeout.String()).DurationVar(&flags.WaitTimeout)
}
