package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// A gateway plans by demand unless its settings say otherwise; other words are refused.
func TestPlanningOfAGateway(t *testing.T) {
	parse := func(member string) (settings.Gateway, error) {
		return settings.ParseGateway("g.json", []byte(`{"name": "a", "zone": "z", "caller-address": "127.0.0.1:1", `+
			`"readiness-address": "127.0.0.1:2", "store-address": "127.0.0.1:3"`+member+`}`))
	}
	for member, want := range map[string]string{"": settings.PlanByDemand, `, "planning": "share"`: settings.PlanByShare} {
		g, err := parse(member)
		require.NoError(t, err)
		require.Equal(t, want, g.Planning)
	}
	_, err := parse(`, "planning": "guess"`)
	require.ErrorContains(t, err, "planning")
}
