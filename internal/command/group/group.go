// Package group holds the commands about replica groups.
package group

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
)

// New adds the noun to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("group", "Work with replica groups.")
	newList(noun, f)
	newView(noun, f)
	newResize(noun, f, "create", "Add replica groups to a service in a zone.", 1)
	newResize(noun, f, "delete", "Take replica groups of a service in a zone away, the last ones first.", -1)
}
