// Package organisation holds the commands about organisations.
package organisation

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
)

// New adds the noun to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("organisation", "Work with organisations.")
	newList(noun, f)
	newView(noun, f)
	newCreate(noun, f)
	newEdit(noun, f)
	newDelete(noun, f)
}
