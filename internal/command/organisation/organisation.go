// Package organisation implements the commands that manage organisations.
package organisation

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the organisation commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("organisation", "Manage organisations.")
	newList(noun, f)
	newView(noun, f)
	newCreate(noun, f)
	newEdit(noun, f)
	factory.NewDelete(noun, f, "delete", operator.KindOrganisation, "Delete an organisation; its keys become invalid.", "organisation delete trolley-north --reason 'contract ended'")
}
