package mangogateway

import (
	"encoding/json"
	"strings"

	"mangopath.org/mangopath/internal/mangocall"
)

// completionAnswer is a whole answer or one event of a streamed one.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// complete serves POST /v1/completions.
func (g *Gateway) complete(x *exchange) {
	request, data, ok := x.admit(KindCompletion)
	if !ok {
		return
	}
	body, err := parseCompletion(data, g.maxPrompt, g.maxTokens)
	if err != nil {
		x.fail(err)
		return
	}
	request.RequestedProfile, x.fields["name"] = body.Model, body.Model
	completion := Completion{Request: request, Prompt: body.Prompt}
	if body.MaxTokens != nil {
		completion.MaxTokens = *body.MaxTokens
	}
	if body.Stream {
		g.completeStream(x, completion)
		return
	}
	g.completeWhole(x, completion)
}

// completeWhole answers with one body after the last token.
func (g *Gateway) completeWhole(x *exchange, completion Completion) {
	var sink textSink
	result, err := g.completer.Complete(x.request.Context(), completion, &sink)
	if err != nil {
		x.fail(err)
		return
	}
	x.note(result)
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.Header().Set(headerOutcome, OutcomeAnswer)
	if _, err := x.writer.Write(answerJSON(completion, sink.text.String(), &result)); err != nil {
		x.failure, x.abort = cancelled(err), true
	}
}

// completeStream answers with an event for each token.
func (g *Gateway) completeStream(x *exchange, completion Completion) {
	sink := &eventSink{exchange: x, completion: completion}
	result, err := g.completer.Complete(x.request.Context(), completion, sink)
	if err == nil {
		x.note(result)
		err = sink.end(result)
	}
	if err == nil {
		return
	}
	if x.writer.status == 0 {
		x.fail(err)
		return
	}
	sink.truncate(err)
}

func (x *exchange) note(result mangocall.Result) {
	x.fields["tokens"], x.fields["attempts"], x.fields["finish"] = result.Tokens, result.Attempts, result.FinishReason
}

// textSink keeps the text of an answer.
type textSink struct {
	text strings.Builder
}

var _ mangocall.Sink = (*textSink)(nil)

// Token implements mangocall.Sink.
func (s *textSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// answerJSON encodes a whole answer, or an event when result is nil.
func answerJSON(completion Completion, text string, result *mangocall.Result) []byte {
	answer := completionAnswer{
		ID: completion.ID, Object: "text_completion", Model: completion.RequestedProfile, Choices: []choice{{Text: text}},
	}
	if result != nil {
		answer.Choices[0].FinishReason = &result.FinishReason
		answer.Usage = &usage{CompletionTokens: result.Tokens}
	}
	data, _ := json.Marshal(answer)
	return data
}
