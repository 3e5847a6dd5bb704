// Package quarantine implements the commands that manage the prompt parts that
// gateways hold back.
package quarantine

import (
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
	"github.com/hibiscuspulley/hibiscuspulley/platform"
)

// callTimeout limits one call to the store.
const callTimeout = 10 * time.Second

// Options holds the options that all quarantine commands share.
type Options struct {
	Factory *factory.Factory
	// StoreAddress is the address of the hosting platform's store.
	StoreAddress string
	// Store returns a client of the store at an address.
	Store func(address string) store.Client
}

// New adds the quarantine commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f, Store: func(address string) store.Client {
		return platform.NewStore(address, &http.Client{Timeout: callTimeout})
	}}
	parent := app.Command("quarantine", "Manage the prompt parts that gateways hold back because they crash backend servers.")
	parent.Flag("store", "Address of the hosting platform's store, as in the gateways' settings.").
		Required().Envar("HIBISCUSPULLEY_STORE").StringVar(&opts.StoreAddress)
	newList(parent, opts)
	newClear(parent, opts)
}
