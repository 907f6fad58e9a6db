package mangoengine

import "strings"

// Completion is the output of a model for a prompt.
type Completion struct {
	Tokens []uint32
	Text   string
	// FinishReason is "stop" if the model ended the text and "length" if it reached the maximum number of tokens.
	FinishReason string
}

// Complete computes the completion that a fault-free chain of engines returns for a model with the number of layers.
func (m Model) Complete(layers uint32, prompt string, maxTokens int) Completion {
	var text strings.Builder
	completion := Completion{FinishReason: "length"}
	cache := newKVCache(m, 0, layers)
	inputs := embedPrompt(prompt)
	for len(completion.Tokens) < maxTokens {
		outputs := cache.runLayers(inputs)
		token, word, end := m.sample(outputs[len(outputs)-1])
		completion.Tokens = append(completion.Tokens, token)
		text.WriteString(word)
		if end {
			completion.FinishReason = "stop"
			break
		}
		inputs = embedTokens(completion.Tokens[len(completion.Tokens)-1:])
	}
	completion.Text = text.String()
	return completion
}
