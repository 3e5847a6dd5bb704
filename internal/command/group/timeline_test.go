package group_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/group"
)

func TestTimelinePrintsAndDraws(t *testing.T) {
	dir := t.TempDir()
	logFile, picture := filepath.Join(dir, "gateways.log"), filepath.Join(dir, "groups.svg")
	line := `{"event":412,"group":"g1","model":"large","phase":"ending","time":"2026-01-01T00:00:00.2Z"}` + "\n"
	require.NoError(t, os.WriteFile(logFile, []byte(line), 0o600))
	f, out := factory.New(), &bytes.Buffer{}
	f.Out = out
	require.NoError(t, group.RunTimeline(&group.TimelineOptions{Factory: f, LogFile: logFile, PictureFile: picture}))
	require.Contains(t, out.String(), "0 (1 ending)")
	drawn, err := os.ReadFile(picture)
	require.NoError(t, err)
	require.Contains(t, string(drawn), "<svg")
	out.Reset()
	f.Flags.JSON = true
	require.NoError(t, group.RunTimeline(&group.TimelineOptions{Factory: f, LogFile: logFile}))
	require.Contains(t, out.String(), `"ending": 1`)
}

func TestTimelineOfAFileThatIsNoLogSaysSo(t *testing.T) {
	file := filepath.Join(t.TempDir(), "other")
	require.NoError(t, os.WriteFile(file, []byte("text\n"), 0o600))
	err := group.RunTimeline(&group.TimelineOptions{Factory: factory.New(), LogFile: file})
	require.ErrorContains(t, err, "give the log of gateways")
}
