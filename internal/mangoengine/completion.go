package mangoengine

import "strings"

// Completion is what a fault-free chain answers.
type Completion struct {
	Tokens []uint32
	Text   string
	// FinishReason is "stop" when the model ended and "length" at the bound on tokens.
	FinishReason string
}

// Complete computes the fault-free completion of a model with a number of layers.
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
