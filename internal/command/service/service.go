// Package service holds the commands about services.
package service

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
)

// New adds the noun to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("service", "Work with services.")
	newList(noun, f)
	newView(noun, f)
	newCreate(noun, f)
	newEdit(noun, f)
	newDelete(noun, f)
}
