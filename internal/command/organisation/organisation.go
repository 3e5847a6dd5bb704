// Package organisation implements the commands that manage organisations.
package organisation

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the organisation commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("organisation", "Manage organisations.")
	newList(parent, f)
	newView(parent, f)
	newCreate(parent, f)
	newEdit(parent, f)
	factory.NewDelete(parent, f, "delete", operator.KindOrganisation, "Delete an organisation; its keys become invalid.", "organisation delete trolley-north --reason 'contract ended'")
}
