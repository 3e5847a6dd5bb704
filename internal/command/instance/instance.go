// Package instance holds the commands about instances.
package instance

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the noun to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	noun := app.Command("instance", "Work with instances and their backend servers.")
	newList(noun, f)
	newSet(noun, f, "drain", "Let an instance leave: its group takes no new work and gets another member.",
		func(i *operator.Instance) { i.Drained = true })
	newSet(noun, f, "undrain", "Let an instance take work again.",
		func(i *operator.Instance) { i.Drained = false })
	newSet(noun, f, "hold", "Keep an instance out of new groups; its group goes on.",
		func(i *operator.Instance) { i.Held = true })
	newSet(noun, f, "unhold", "Let an instance join groups again.",
		func(i *operator.Instance) { i.Held = false })
}
