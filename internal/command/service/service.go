// Package service implements the commands that manage services.
package service

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the service commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("service", "Manage services.")
	newList(parent, f)
	newView(parent, f)
	newCreate(parent, f)
	newEdit(parent, f)
	factory.NewDelete(parent, f, "delete", operator.KindService, "Delete a service and release its replica groups.", "service delete yard-notes --reason 'replaced by yard-notes-2'")
}
