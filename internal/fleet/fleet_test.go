package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

func TestWholePathInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f, err := fleet.Start(ctx, fleet.DefaultPlan(), standin.NewMemory(), t.Output())
		require.NoError(t, err)
		defer f.Close()
		require.NoError(t, f.WaitComplete(ctx))
		client := f.Client("a")
		defer client.CloseIdleConnections()
		m := f.Entries()[0]
		body := `{"model":"yard-notes","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`
		r, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+fleet.Key(0))
		reply, err := client.Do(r)
		require.NoError(t, err)
		defer reply.Body.Close()
		text, err := io.ReadAll(bufio.NewReader(reply.Body))
		require.NoError(t, err)
		fmt.Println(string(text))
		require.Equal(t, 200, reply.StatusCode, string(text))
		require.Equal(t, "ran", reply.Header.Get("hibiscuspulley-run"))
		require.Contains(t, string(text), "[DONE]")
	})
}
