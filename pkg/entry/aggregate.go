package entry

import (
	"encoding/json"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/relay"
)

// completionBuilder assembles the chunks of a stream into one chat completion,
// for callers that did not ask for a stream.
type completionBuilder struct {
	id, model, role, finishReason string
	created                       int64
	content                       strings.Builder
}

// streamChunk holds the members of a chunk that a chat completion needs.
type streamChunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatUsage struct {
	relay.Usage
	TotalTokens int64 `json:"total_tokens"`
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

func (c *completionBuilder) addChunk(data []byte) error {
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if c.id == "" {
		c.id, c.model, c.created = chunk.ID, chunk.Model, chunk.Created
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Role != "" {
			c.role = choice.Delta.Role
		}
		if choice.FinishReason != "" {
			c.finishReason = choice.FinishReason
		}
		c.content.WriteString(choice.Delta.Content)
	}
	return nil
}

func (c *completionBuilder) encode(usage relay.Usage) []byte {
	if c.role == "" {
		c.role = "assistant"
	}
	body, _ := json.Marshal(chatCompletion{ // strings and numbers cannot fail to encode
		ID: c.id, Object: "chat.completion", Created: c.created, Model: c.model,
		Choices: []chatChoice{{Message: chatMessage{c.role, c.content.String()}, FinishReason: c.finishReason}},
		Usage:   chatUsage{usage, int64(usage.Total())},
	})
	return body
}
