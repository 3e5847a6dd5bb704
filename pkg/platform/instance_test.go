package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// instancesOf returns the instances that a client reads from a list, and the number
// of items that it reports as invalid.
func instancesOf(t *testing.T, list string) ([]platform.Instance, int, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
	defer server.Close()
	invalid := 0
	c := platform.NewClient(server.URL, platform.WithInstances(server.URL), platform.WithOnInvalidInstance(func(err error) {
		require.Less(t, len(err.Error()), 300, "the log line is bounded")
		invalid++
	}))
	defer c.Close()
	instances, err := c.Instances(t.Context())
	return instances, invalid, err
}

// Guards against entries that stop following the instance list because another writer
// left an odd item in it.
func TestOddItemsDoNotHideOtherInstances(t *testing.T) {
	const sound = `{"targets":["10.0.0.1:80"],"labels":{"instance":"i","zone":"a"}}`
	want := platform.Instance{Name: "i", Address: "10.0.0.1:80", Zone: "a"}
	nested := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	address := func(a string) string { return `{"targets":["` + a + `"],"labels":{"instance":"odd"}}` }
	for name, odd := range map[string]string{
		"deep item": nested, "deep label": `{"targets":["10.0.0.2:80"],"labels":{"instance":` + nested + `}}`,
		"deep unknown field": `{"targets":["10.0.0.2:80"],"other":` + nested + `}`,
		"number as label":    `{"targets":["10.0.0.2:80"],"labels":{"instance":1e400}}`,
		"number as target":   `{"targets":[` + strings.Repeat("9", 5000) + `]}`,
		"text":               `"\\\"],{ odd"`, "number": "1e400", "list": "[]", "bad escape": `{"targets":["\x"]}`,
		"port 0": address("10.0.0.2:0"), "port 65536": address("10.0.0.2:65536"), "negative port": address("10.0.0.2:-1"),
		"named port": address("10.0.0.2:http"), "no port": address("10.0.0.2"), "no host": address(":80"), "long": address(strings.Repeat("1", 7000)),
	} {
		for _, list := range []string{sound + "," + odd, odd + "," + sound} {
			instances, invalid, err := instancesOf(t, " [ "+list+" ]\n")
			require.NoError(t, err, name)
			require.Equal(t, []platform.Instance{want}, instances, name)
			require.Equal(t, 1, invalid, name)
		}
	}
}

func TestAListThatIsNoArrayIsAnError(t *testing.T) {
	for _, list := range []string{"", "{}", "[", `[{"targets":["10.0.0.1:80"]}`, `["]`, `[{]`} {
		_, _, err := instancesOf(t, list)
		require.ErrorIs(t, err, platform.ErrUnavailable, list)
	}
	for _, empty := range []string{"[]", " [ ] "} {
		instances, invalid, err := instancesOf(t, empty)
		require.NoError(t, err)
		require.Empty(t, instances)
		require.Zero(t, invalid)
	}
}
