package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/findings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// minimalSettings sets only the required members.
const minimalSettings = `{
	// Comments and trailing commas are allowed.
	"name": "entry-a", "zone": "a",
	"caller": {"address": "127.0.0.1:0"},
	"operator": {"address": "127.0.0.1:0", "key-file": "KEY"},
	"peer": {"address": "127.0.0.1:0", "key-file": "KEY"},
	"platform": {"table-url": "http://p", "objects-url": "http://p/o", "instances-url": "http://p/i"},
}`

// writeSettings writes a settings file and the key file that it refers to as KEY.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	directory := t.TempDir()
	key := filepath.Join(directory, "key")
	require.NoError(t, os.WriteFile(key, []byte("a-secret-of-enough-bytes"), 0o600))
	file := filepath.Join(directory, "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(text, "KEY", key)), 0o600))
	return file
}

func TestLoadSetsDefaults(t *testing.T) {
	s, err := settings.Load(writeSettings(t, minimalSettings))
	require.NoError(t, err)
	require.Equal(t, "a", s.Zone)
	require.Equal(t, settings.DefaultLimits(), s.Limits)
	require.Equal(t, 2*time.Second, s.Platform.Timeout)
	require.Equal(t, 1, s.Grouping.SparesPerDomain)
}

func TestLoadReportsAllFindingsWithPositions(t *testing.T) {
	text := strings.Replace(minimalSettings, `"name": "entry-a", "zone": "a",`,
		"\"name\": 7, \"zon\": \"a\",\n\t\"limits\": {\"body-bytes\": -1, \"queue-timeout\": \"soon\"},", 1)
	_, err := settings.Load(writeSettings(t, text))
	var list findings.List
	require.ErrorAs(t, err, &list)
	messages := make(map[string]string)
	for _, f := range list {
		messages[fmt.Sprintf("%d:%d", f.Line, f.Column)] = f.Message
		require.NotEmpty(t, f.Remedy)
	}
	require.Equal(t, map[string]string{
		"1:1":  "zone is missing",
		"3:10": "name is not a text",
		"3:13": "zon is unknown",
		"4:27": "limits.body-bytes is out of range",
		"4:48": "limits.queue-timeout is not a duration",
	}, messages)
}

func TestLoadReportsPositionOfSyntaxError(t *testing.T) {
	_, err := settings.Load(writeSettings(t, "{\n\t\"name\" \"x\"\n}"))
	var list findings.List
	require.ErrorAs(t, err, &list)
	require.Len(t, list, 1)
	require.Equal(t, 2, list[0].Line)
}

func TestErrorsDoNotContainSecrets(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(file, []byte("short-secret"), 0o600))
	_, err := settings.ReadSecret(file)
	require.ErrorContains(t, err, "shorter")
	require.NotContains(t, err.Error(), "short-secret")
}

func TestExampleSettingsAreValid(t *testing.T) {
	t.Chdir("../..")
	for _, zone := range []string{"a", "b", "c"} {
		_, err := settings.Load("examples/entry-" + zone + ".json")
		require.NoError(t, err)
	}
}
