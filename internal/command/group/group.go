// Package group implements the commands that manage replica groups.
package group

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
)

// New adds the group commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("group", "Manage replica groups.")
	newList(parent, f)
	newView(parent, f)
	newTimeline(parent, f)
	newResize(parent, f, "create", "Add replica groups to a service in a zone.", 1)
	newResize(parent, f, "delete", "Remove replica groups from a service in a zone, the last ones first.", -1)
}
