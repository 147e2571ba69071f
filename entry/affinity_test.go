package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
)

// Guards against prompts that are processed from the start at another endpoint
// although one endpoint has their beginning cached: each turn of a conversation
// repeats all earlier turns.
func TestConversationsStayWithTheirCache(t *testing.T) {
	f := newFleet(t, 1, standin.EndpointOptions{}, standin.EndpointOptions{}, standin.EndpointOptions{})
	const conversations, turns = 6, 6
	histories := make([][]map[string]string, conversations)
	sent := 0
	for turn := range turns {
		for i := range histories {
			text := strings.Repeat(fmt.Sprintf("conversation %d turn %d ", i, turn), 90)
			histories[i] = append(histories[i], map[string]string{"role": "user", "content": text})
			body, err := json.Marshal(map[string]any{"model": "jury", "max_tokens": 1, "messages": histories[i]})
			require.NoError(t, err)
			status, _, answer := send("POST", f.callers[0]+chat, string(body))
			require.Equal(t, http.StatusOK, status, answer)
			var whole struct {
				Usage struct {
					PromptTokens int `json:"prompt_tokens"`
				}
			}
			require.NoError(t, json.Unmarshal([]byte(answer), &whole))
			sent += whole.Usage.PromptTokens
		}
	}
	processed := 0
	for _, e := range f.endpoints {
		processed += e.Runs().Prefilled
	}
	t.Logf("%d prompt tokens sent, %d processed", sent, processed)
	// With perfect caching, a sixth to a third of the tokens sent would be
	// processed.
	require.Less(t, processed, sent/2)
}
