package quarantine_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	command "github.com/hibiscuspulley/hibiscuspulley/internal/command/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// An operator must see what is held back, and be able to release it.
func TestListAndClear(t *testing.T) {
	table := standin.NewStore()
	value, err := quarantine.Record{Entry: "a-1", Servers: []string{"s1", "s2", "s3"}, Requests: []string{"r1", "r2"}}.Encode()
	require.NoError(t, err)
	table.Put(quarantine.Table, "5c1e", value)
	out := &bytes.Buffer{}
	f := factory.New()
	f.Out, f.Err = out, out
	opts := &command.Options{Factory: f, Store: func(string) store.Client { return table.Client("operator") }}

	require.NoError(t, command.RunList(t.Context(), opts))
	require.Regexp(t, `(?m)^5c1e +3 +2 +0 +a-1$`, out.String())
	out.Reset()
	f.Flags.JSON = true
	require.NoError(t, command.RunList(t.Context(), opts))
	require.JSONEq(t, `[{"part":"5c1e","entry":"a-1","servers":["s1","s2","s3"],"requests":["r1","r2"],"trials":0}]`, out.String())

	err = command.RunClear(t.Context(), &command.ClearOptions{Options: opts, Part: "5c1"})
	require.EqualError(t, err, `part "5c1" is not in quarantine; "hibiscuspulley quarantine list" shows the parts`)
	out.Reset()
	require.NoError(t, command.RunClear(t.Context(), &command.ClearOptions{Options: opts, Part: "5C1E"}))
	require.Equal(t, "part 5c1e is released\n", out.String())
	out.Reset()
	require.NoError(t, command.RunList(t.Context(), opts))
	require.Equal(t, "[]\n", out.String())
}
