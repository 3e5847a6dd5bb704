// Package instance implements the commands that manage instances.
package instance

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the instance commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("instance", "Manage instances and their backend servers.")
	newList(parent, f)
	newSet(parent, f, "drain", "Drain an instance: its group receives no new requests and replaces the member.",
		func(i *operator.Instance) { i.Drained = true })
	newSet(parent, f, "undrain", "Return a drained instance to service.",
		func(i *operator.Instance) { i.Drained = false })
	newSet(parent, f, "hold", "Keep an instance out of new groups; its current group continues to serve.",
		func(i *operator.Instance) { i.Held = true })
	newSet(parent, f, "unhold", "Allow a held instance to join groups again.",
		func(i *operator.Instance) { i.Held = false })
}
