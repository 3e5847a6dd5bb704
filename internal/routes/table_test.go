package routes_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

func table() *routes.Table {
	return routes.NewTable(routes.Config{
		Routes: []routes.Route{
			{Name: "notes", Host: "yard.example", Prefix: "/notes/", Split: []routes.TrafficShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
			{Name: "drafts", Host: "yard.example", Prefix: "/notes/drafts/", Public: true},
			{Name: "other", Host: "gas.example", Prefix: "/"},
		},
		Organisations: []routes.Organisation{{Name: "north", Keys: []string{"k1", "k2"}}},
	})
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	for path, want := range map[string]string{
		"/notes/1": "notes", "/notes/drafts/1": "drafts", "/notes/draft": "notes",
	} {
		require.Equal(t, want, table().Route("yard.example", path).Name, path)
	}
	require.Equal(t, "notes", table().Route("yard.example:8080", "/notes/1").Name)
	require.Nil(t, table().Route("yard.example", "/note"))
	require.Nil(t, table().Route("unknown.example", "/notes/1"))
}

func TestKeysBelongToOrganisations(t *testing.T) {
	tbl := table()
	require.Equal(t, "north", tbl.Organisation("k2").Name)
	require.Nil(t, tbl.Organisation("k3"))
	require.Nil(t, tbl.Organisation(""))
	require.True(t, tbl.NeedsKey(tbl.Route("yard.example", "/notes/1")))
	require.False(t, tbl.NeedsKey(tbl.Route("yard.example", "/notes/drafts/1")))
}

// Guards against open routes when the list of organisations becomes empty.
func TestAnEmptyListOfOrganisationsOpensNoRoute(t *testing.T) {
	r := &routes.Route{Host: "yard.example", Prefix: "/notes/"}
	require.True(t, routes.NewTable(routes.Config{}).NeedsKey(r))
	require.False(t, routes.NewTable(routes.Config{Keyless: true}).NeedsKey(r))
}

func ExampleRoute_Pick() {
	r := routes.Route{Split: []routes.TrafficShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	fmt.Println(r.Pick(0), r.Pick(0.89), r.Pick(0.91), r.Pick(0.999))
	// Output: a a b b
}

func TestOnlyResumableStreamsAndSafeRequestsAreRetryable(t *testing.T) {
	require.False(t, (&routes.Route{Kind: routes.Unsafe, Resumable: true}).Retryable())
	require.False(t, (&routes.Route{Kind: routes.Streaming}).Retryable())
	require.True(t, (&routes.Route{Kind: routes.Streaming, Resumable: true}).Retryable())
	require.True(t, (&routes.Route{Kind: routes.Safe}).Retryable())
}
