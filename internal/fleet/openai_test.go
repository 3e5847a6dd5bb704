package fleet_test

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

func TestOpenAIClientIsCompatible(t *testing.T) {
	runWithFleet(t, oneZone(), func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
		httpClient := f.Client("a")
		defer httpClient.CloseIdleConnections()
		client := openai.NewClient(option.WithHTTPClient(httpClient), option.WithAPIKey(fleet.Key(0)),
			option.WithBaseURL("http://"+f.Entries()[0].CallerAddress+"/v1/"))
		params := openai.ChatCompletionNewParams{
			Model:     fleet.ModelName,
			MaxTokens: openai.Int(12),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which bay is free?")},
		}
		want := standin.ExpectedResponse("which bay is free?", 12)

		response, err := client.Chat.Completions.New(ctx, params)
		require.NoError(t, err)
		require.Equal(t, want, response.Choices[0].Message.Content)
		require.Equal(t, "length", response.Choices[0].FinishReason)
		require.Equal(t, int64(12), response.Usage.CompletionTokens)

		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var accumulated openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, accumulated.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.NoError(t, stream.Close())
		require.Equal(t, want, accumulated.Choices[0].Message.Content)

		models, err := client.Models.List(ctx)
		require.NoError(t, err)
		require.Equal(t, fleet.ModelName, models.Data[0].ID)

		completion, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: fleet.ModelName, MaxTokens: openai.Int(5),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("bays")},
		})
		require.NoError(t, err)
		require.NotEmpty(t, completion.Choices[0].Text)

		params.Model = "nothing"
		_, err = client.Chat.Completions.New(ctx, params)
		var apiError *openai.Error
		require.ErrorAs(t, err, &apiError)
		require.Equal(t, 404, apiError.StatusCode)
		require.Equal(t, "model_not_found", apiError.Code)
	})
}
