package root_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/root"
	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// run executes a command line and returns its output and exit code.
func run(t *testing.T, f *fleet.Fleet, line string) (string, int) {
	t.Helper()
	out := &bytes.Buffer{}
	cmd := factory.New()
	cmd.Out, cmd.Err = out, out
	cmd.Context = func() (context.Context, context.CancelFunc) { return context.WithCancel(t.Context()) }
	cmd.Operator = func() (*operator.Client, error) { return f.Operator(f.Entries()[0]), nil }
	app := root.New(cmd)
	app.Terminate(func(int) {})
	_, err := app.Parse(append([]string{"--author", "ann"}, split(line)...))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), factory.ExitCode(err)
}

// split splits a command line at spaces outside single quotes.
func split(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}

func TestOperatorCommands(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("a-caller-key-of-enough-bytes"), 0o600))
	synctest.Test(t, func(t *testing.T) {
		plan := fleet.DefaultPlan()
		plan.LogLevel = "fatal"
		f, err := fleet.Start(t.Context(), plan, standin.NewMemory(), t.Output())
		require.NoError(t, err)
		require.NoError(t, f.WaitGroupsOpen(t.Context()))
		for _, test := range []struct {
			line string
			code int
			want string
		}{
			{"status", 0, "4 of 4 replica groups of its zone open"},
			{"status --json", 0, `"groups-open": 4`},
			{"service list", 0, "yard-notes  model  a=4,b=4,c=4"},
			{"service view yard-notes --json", 0, `"cold-limit": 2`},
			{"service view nothing", 1, `there is no service "nothing"; see hibiscuspulley service list`},
			{"service create notes-2 --kind model --group-size 2 --groups a=1 --slots 8 --cold-limit 1 --wait", 0, "in force at: entry-a1, entry-a2"},
			{"service create notes-2 --kind plain", 3, "another change was committed first; read the configuration again"},
			{"service create bad --kind model --groups x", 1, "write it as ZONE=COUNT"},
			{"service create bad --kind model", 1, "group-size: must be at least 1"},
			{"service edit notes-2 --slots 16 --route GET:/x:idempotent --json", 0, `"revision"`},
			{"service view notes-2", 0, "route           GET /x idempotent=true"},
			{"group create notes-2 --zone b --count 2", 0, "accepted"},
			{"group delete notes-2 --zone b --count 3", 1, "has only 2 groups in zone b"},
			{"group list", 0, "yard-notes-a-0"},
			{"group view yard-notes-a-0", 0, "fabric domain"},
			{"group view nothing", 1, "see hibiscuspulley group list"},
			{"service delete notes-2 --reason 'not needed'", 0, "accepted"},
			{"organisation create north --caller-key-file " + key, 0, "accepted"},
			{"organisation create south", 1, "no key; set --caller-key-file or --key-hash"},
			{"organisation list", 0, "north"},
			{"organisation view north", 0, "key hash"},
			{"organisation edit north --caller-key-file " + key, 0, "accepted"},
			{"config exception add peak --organisation north --setting weight --value 20 --reason 'holiday traffic'", 0, "accepted"},
			{"config exception list", 0, "holiday traffic"},
			{"config exception remove peak --reason 'over'", 0, "accepted"},
			{"organisation delete north --reason 'contract ended'", 0, "accepted"},
			{"config defaults edit --retry-percent 5 --reason 'spare the engines'", 0, "accepted"},
			{"config defaults view", 0, "retry-percent    5"},
			{"zone out b --reason 'power work' --wait", 0, "in force at"},
			{"zone list", 0, "b     out    2        ann     power work"},
			{"zone in b --reason 'power is back'", 0, "accepted"},
			{"instance drain engine-a-0-0 --reason 'fan noise'", 0, "accepted"},
			{"instance hold engine-a-0-0", 0, "accepted"},
			{"instance list", 0, "drained,held"},
			{"instance undrain engine-a-0-0", 0, "accepted"},
			{"config history --after 5", 0, "exception peak (deleted)"},
			{"config history --json", 0, `"kind": "service"`},
			{"report burn", 0, "BURN RATE"},
			{"report burn --by organisation --json", 0, `"unreached"`},
		} {
			out, code := run(t, f, test.line)
			require.Equal(t, test.code, code, "%s: %s", test.line, out)
			require.Contains(t, out, test.want, test.line)
		}
		f.Close()
		time.Sleep(10 * time.Second)
	})
}

func TestSettingsCheckReportsEveryLocation(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(file, []byte("{\n  \"zone\": 3\n}"), 0o600))
	out, code := run(t, nil, "settings check "+file)
	require.Equal(t, 1, code)
	require.Contains(t, out, file+":2:11: zone is not a text; write it in quotes")
	require.Contains(t, out, ":1:1: name is missing; add it to the settings file")
}
