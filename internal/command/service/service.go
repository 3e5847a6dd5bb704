// Package service implements the commands that manage services.
package service

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the service commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("service", "Manage services.")
	newList(noun, f)
	newView(noun, f)
	newCreate(noun, f)
	newEdit(noun, f)
	factory.NewDelete(noun, f, "delete", operator.KindService, "Delete a service and release its replica groups.", "service delete yard-notes --reason 'replaced by yard-notes-2'")
}
