package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/timeline"
)

const log = `
  -1.0 a-1 {"event":412,"group":"g1","model":"large","phase":"serving","time":"2026-01-01T00:00:00.2Z"}
{"event":412,"group":"g2","model":"small","phase":"planned","time":"2026-01-01T00:00:00.4Z"}
not a log line
{"event":503,"status":200,"time":"2026-01-01T00:00:01.1Z"}
{"event":502,"status":503,"time":"2026-01-01T00:00:03.1Z"}
{"event":502,"status":504,"time":"2026-01-01T00:00:03.2Z"}
{"event":508,"status":200,"time":"2026-01-01T00:00:03.3Z"}
{"event":412,"group":"g1","model":"large","phase":"ending","time":"2026-01-01T00:00:01.5Z"}
{"event":412,"group":"g1","model":"large","phase":"over","time":"2026-01-01T00:00:03.5Z"}
`

func TestATimelineCountsGroupsAndRequestsBySecond(t *testing.T) {
	line, err := timeline.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, []string{"large", "small"}, line.Models)
	require.Len(t, line.Points, 4)
	require.Equal(t, timeline.Groups{Serving: 1}, line.Points[0].Groups["large"])
	require.Equal(t, timeline.Groups{Forming: 1}, line.Points[0].Groups["small"])
	require.Equal(t, timeline.Groups{Ending: 1}, line.Points[1].Groups["large"])
	require.Equal(t, 1, line.Points[1].Served)
	require.Zero(t, line.Points[3].Groups["large"])
	require.Equal(t, 1, line.Points[3].Rejected)
	require.Equal(t, 2, line.Points[3].Failed)
}

func TestATimelineIsDrawn(t *testing.T) {
	line, err := timeline.Read(strings.NewReader(log))
	require.NoError(t, err)
	var picture bytes.Buffer
	require.NoError(t, line.WriteSVG(&picture))
	require.Contains(t, picture.String(), "groups of model large")
	require.Contains(t, picture.String(), "rejected (503)")
	empty, err := timeline.Read(strings.NewReader(""))
	require.NoError(t, err)
	require.NoError(t, empty.WriteSVG(&picture))
}
