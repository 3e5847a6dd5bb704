// Package config holds the commands about the configuration as a whole.
package config

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the noun to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("config", "Work with the fleet-wide defaults, the exceptions and the history.")
	newHistory(noun, f)
	defaults := noun.Command("defaults", "The fleet-wide defaults.")
	newDefaultsView(defaults, f)
	newDefaultsEdit(defaults, f)
	exception := noun.Command("exception", "The exceptions from the defaults, each with its reason.")
	newExceptionList(exception, f)
	newExceptionAdd(exception, f)
	factory.NewDelete(exception, f, "remove", operator.KindException, "Remove an exception.",
		"config exception remove north-peak --reason 'holidays are over'")
}
