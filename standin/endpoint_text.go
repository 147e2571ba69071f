package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

// bytesPerToken is the number of prompt bytes that count as one token, the usual
// estimate for English text.
const bytesPerToken = 4

// words is the vocabulary from which answers are generated, one word per token.
var words = strings.Fields(`linen thread harbour garden paper lamp river stone
	letter window market oak silver bridge orchard bell copper field winter page
	basket candle meadow ribbon slate tower valley willow anchor barley clay dune`)

// completionRequest is the part of an OpenAI request that the endpoint reads.
type completionRequest struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// prompt joins the messages, or returns the prompt of a plain completion.
func (r *completionRequest) prompt() string {
	if len(r.Messages) == 0 {
		return plainText(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, plainText(m.Content))
	}
	return b.String()
}

// tokenLimit returns the requested number of tokens, or zero when none is given.
func (r *completionRequest) tokenLimit() int {
	return max(r.MaxTokens, r.MaxCompletionTokens)
}

// plainText returns the value of a JSON string, and any other JSON unchanged.
func plainText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// GeneratedText returns the whole text that an [Endpoint] generates for the body
// of a completion or chat completion request. It depends on the prompt and the
// token limit alone. An error means that body is not a valid JSON request.
func GeneratedText(body []byte) (string, error) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return "", fmt.Errorf("completion request: %w", err)
	}
	return strings.Join(generate(r.prompt(), r.tokenLimit()), ""), nil
}

// generate returns the tokens of the answer to prompt: limit of them, or between
// 16 and 40 when limit is not positive.
func generate(prompt string, limit int) []string {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	state := h.Sum64() | 1
	if limit <= 0 {
		limit = 16 + int(state>>8%25)
	}
	tokens := make([]string, limit)
	for i := range tokens {
		// Xorshift, so that the sequence does not depend on a library's version.
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		tokens[i] = words[state>>16%uint64(len(words))]
		if i > 0 {
			tokens[i] = " " + tokens[i]
		}
	}
	return tokens
}

// countTokens estimates the number of tokens of a prompt. An empty prompt counts as
// one token.
func countTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}
