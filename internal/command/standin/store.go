package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/platform"
)

func addStore(app *kingpin.Application, f *factory.Factory) {
	cmd := app.Command("store", `Run the store that gateways use.

It can lose what was written last, to rehearse a drill. "age-ms" is the age of the copy from which it comes back, "away-ms" how long it is away before, and "write-again-ms" when the other writers write again what they had written.

Example:
  stand-in store --address 127.0.0.1:7300
  curl -X PUT -d '{"age-ms": 8000, "away-ms": 1000, "write-again-ms": 1000}' 127.0.0.1:7300/control/restore`)
	address := cmd.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	tables := cmd.Flag("write-again", "Tables that other writers write again, separated by commas.").
		Default(platform.OperatorTable + "," + platform.ServerTable).String()
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := f.Context()
		defer cancel()
		s := standin.NewStore()
		copies := standin.KeepCopies(ctx, s)
		mux := http.NewServeMux()
		mux.Handle("/", platform.NewStoreHandler(s.Source("")))
		mux.HandleFunc("PUT /control/restore", func(w http.ResponseWriter, r *http.Request) {
			var request restoreWire
			if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			restore(s, copies, request, strings.Split(*tables, ","))
			_, _ = fmt.Fprintln(f.Err, "the store has come back from an older copy")
		})
		return run(f, *address, mux)
	})
}

// restoreWire says how the store comes back from an older copy. Times are in milliseconds.
type restoreWire struct {
	Age        int `json:"age-ms"`
	Away       int `json:"away-ms"`
	WriteAgain int `json:"write-again-ms"`
}

// restore returns when the store has come back. What the other writers write again follows.
func restore(s *standin.Store, copies *standin.Copies, r restoreWire, tables []string) {
	s.SetFaults(standin.StoreFaults{Down: true})
	before := s.Copy()
	restored := copies.GoBack(time.Duration(r.Age) * time.Millisecond)
	time.Sleep(time.Duration(r.Away) * time.Millisecond)
	s.Restore(restored)
	s.SetFaults(standin.StoreFaults{})
	time.AfterFunc(time.Duration(r.WriteAgain)*time.Millisecond, func() { s.WriteAgain(tables, before, restored) })
}
