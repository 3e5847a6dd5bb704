package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// TestRequestWithoutMemoryIsRefused guards against requests that are accepted without
// memory for them, and against refusals that don't say that the request has not run.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	plan := oneZone()
	plan.Limits.Clients = settings.GatewayLimits{MemoryBytes: 2_000_000, Descriptors: 1024}
	runWithFleet(t, plan, func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		before := f.Counts().Requests
		body := func(size int) string {
			return `{"model":"yard-notes","max_tokens":2,"prompt":"` + strings.Repeat("x", size) + `"}`
		}
		response, text := post(ctx, t, f, "/v1/completions", fleet.Key(0), body(700_000))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, string(caller.NotRun), response.Header.Get(caller.RunHeader))
		require.Equal(t, "1", response.Header.Get("Retry-After"))
		require.Contains(t, text, `"no-memory"`)
		require.Equal(t, before, f.Counts().Requests)
		response, _ = post(ctx, t, f, "/v1/completions", fleet.Key(0), body(5<<20))
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		response, _ = post(ctx, t, f, "/v1/completions", fleet.Key(0), body(100_000))
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

// TestRewrittenBodyKeepsOddFields guards against a resumed request that loses fields with
// escapes, other cases or structural characters in strings.
func TestRewrittenBodyKeepsOddFields(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		prompt := `{ "x" : [ {"]":"\\\""} , -1e3 , null ] , "y":{},
			"m\u006fdel":"yard-notes","max_tokens":20 , "Prompt" : "a]}\",{ b" }`
		chat := `{"model":"yard-notes","max_tokens":20,"stream":false,"stream_options":null,` +
			`"m\u0065ssages":[ {"role":"user","content":"a"} ]}`
		_, whole := post(ctx, t, f, "/v1/completions", fleet.Key(0), prompt)
		_, whole, _ = strings.Cut(whole, `"choices":`)
		for _, i := range leaders(f) {
			i.Engine.SetFaults(standin.EngineFaults{CutAfter: 3, RejectResume: true})
		}
		_, text := post(ctx, t, f, "/v1/completions", fleet.Key(0), prompt)
		require.NotEmpty(t, whole)
		require.Contains(t, text, whole)
		_, text = post(ctx, t, f, "/v1/chat/completions", fleet.Key(0), chat)
		require.Contains(t, text, standin.ExpectedResponse("a", 20))
	})
}
