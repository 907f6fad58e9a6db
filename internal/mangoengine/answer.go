package mangoengine

import "strings"

// Completion is what a fault-free chain answers.
type Completion struct {
	Tokens []uint32
	Text   string
	// FinishReason is "stop" when the model ended and "length" at the bound on tokens.
	FinishReason string
}

// Complete computes the fault-free answer of a model with a number of layers.
func (m Model) Complete(layers uint32, prompt string, maxTokens int) Completion {
	var text strings.Builder
	answer := Completion{FinishReason: "length"}
	all := newStage(m, 0, layers)
	inputs := embedPrompt(prompt)
	for len(answer.Tokens) < maxTokens {
		outputs := all.run(inputs)
		token, word, end := m.sample(outputs[len(outputs)-1])
		answer.Tokens = append(answer.Tokens, token)
		text.WriteString(word)
		if end {
			answer.FinishReason = "stop"
			break
		}
		inputs = embedTokens(answer.Tokens[len(answer.Tokens)-1:])
	}
	answer.Text = text.String()
	return answer
}
