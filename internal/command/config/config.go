// Package config implements the config commands: the fleet-wide defaults, the
// exceptions from them and the history of changes.
package config

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the config commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("config", "Manage the fleet-wide defaults and exceptions, and show the history.")
	newHistory(parent, f)
	defaults := parent.Command("defaults", "Manage the fleet-wide defaults.")
	newDefaultsView(defaults, f)
	newDefaultsEdit(defaults, f)
	exception := parent.Command("exception", "Manage the exceptions from the defaults, each with its reason.")
	newExceptionList(exception, f)
	newExceptionAdd(exception, f)
	factory.NewDelete(exception, f, "remove", operator.KindException, "Remove an exception.",
		"config exception remove north-peak --reason 'holidays are over'")
}
