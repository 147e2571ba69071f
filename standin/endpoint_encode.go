package standin

import (
	"encoding/json"
	"fmt"
)

// completionUsage is the usage object of OpenAI answers.
type completionUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index   int                `json:"index"`
	Text    *string            `json:"text,omitempty"`
	Delta   *completionMessage `json:"delta,omitempty"`
	Message *completionMessage `json:"message,omitempty"`
	Finish  *string            `json:"finish_reason"`
}

// completionAnswer is a whole answer or one event of a streamed answer.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

func (s *stream) answer(created int64, object string, choices ...completionChoice) completionAnswer {
	if choices == nil {
		choices = []completionChoice{}
	}
	return completionAnswer{ID: s.id, Object: object, Created: created, Model: s.model, Choices: choices}
}

func (s *stream) object() string {
	if s.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (s *stream) usage() *completionUsage {
	return &completionUsage{Prompt: s.promptTokens, Completion: s.produced, Total: s.promptTokens + s.produced}
}

// encodeToken returns the event of token, the next one of s.
func (e *Endpoint) encodeToken(s *stream, token string) []byte {
	c := completionChoice{}
	if s.chat {
		c.Delta = &completionMessage{Content: token}
		if s.produced == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &token
	}
	return encodeEvent(len(s.events)+1, s.answer(e.clock.Now().Unix(), s.object(), c))
}

// encodeEnd returns the events that follow the last token. [DONE] is the last event.
func (e *Endpoint) encodeEnd(s *stream) [][]byte {
	finish, empty := "stop", ""
	c := completionChoice{Finish: &finish}
	if s.chat {
		c.Delta = &completionMessage{}
	} else {
		c.Text = &empty
	}
	created := e.clock.Now().Unix()
	next := len(s.events) + 1
	events := [][]byte{encodeEvent(next, s.answer(created, s.object(), c))}
	if s.includeUsage {
		a := s.answer(created, s.object())
		a.Usage = s.usage()
		events = append(events, encodeEvent(next+len(events), a))
	}
	return append(events, fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", next+len(events)))
}

// wholeAnswer returns the complete answer as it is sent without streaming.
func (e *Endpoint) wholeAnswer(s *stream) completionAnswer {
	var text string
	for _, t := range s.tokens {
		text += t
	}
	finish, object := "stop", "text_completion"
	c := completionChoice{Finish: &finish}
	if s.chat {
		object = "chat.completion"
		c.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a := s.answer(e.clock.Now().Unix(), object, c)
	a.Usage = s.usage()
	return a
}

// encodeEvent returns event number n with the answer a. Encoding a cannot fail.
func encodeEvent(n int, a completionAnswer) []byte {
	data, _ := json.Marshal(a)
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, data)
}
