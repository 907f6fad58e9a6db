package mangogateway

import (
	"encoding/json"
	"strings"

	"mangopath.org/mangopath/internal/mangocall"
)

// completionAnswer is the body of an unstreamed answer or the data of one event of a streamed one.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice has the generated text; its finish reason is set only when the answer is complete.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// serveCompletion serves POST /v1/completions.
func (g *Gateway) serveCompletion(x *exchange) {
	request, data, ok := x.readRequest(KindCompletion)
	if !ok {
		return
	}
	body, err := parseCompletion(data, g.maxPrompt, g.maxTokens)
	if err != nil {
		x.answerError(err)
		return
	}
	request.RequestedProfile, x.logFields["name"] = body.Model, body.Model
	completion := Completion{Request: request, Prompt: body.Prompt}
	if body.MaxTokens != nil {
		completion.MaxTokens = *body.MaxTokens
	}
	if body.Stream {
		g.answerStream(x, completion)
		return
	}
	g.answerWhole(x, completion)
}

// answerWhole runs a completion and answers with one body after the last token.
func (g *Gateway) answerWhole(x *exchange, completion Completion) {
	var sink textSink
	result, err := g.completer.Complete(x.request.Context(), completion, &sink)
	if err != nil {
		x.answerError(err)
		return
	}
	x.logResult(result)
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.Header().Set(headerOutcome, OutcomeAnswer)
	if _, err := x.writer.Write(encodeAnswer(completion, sink.text.String(), &result)); err != nil {
		x.failure, x.mustAbort = cancelledError(err), true
	}
}

// answerStream runs a completion and answers with a server-sent event for each token.
func (g *Gateway) answerStream(x *exchange, completion Completion) {
	sink := &eventSink{exchange: x, completion: completion}
	result, err := g.completer.Complete(x.request.Context(), completion, sink)
	if err == nil {
		x.logResult(result)
		err = sink.sendEnd(result)
	}
	if err == nil {
		return
	}
	if x.writer.status == 0 {
		x.answerError(err)
		return
	}
	sink.sendError(err)
}

// logResult adds the result of a completion to the log line of the call.
func (x *exchange) logResult(result mangocall.Result) {
	x.logFields["tokens"], x.logFields["attempts"], x.logFields["finish"] = result.Tokens, result.Attempts, result.FinishReason
}

// textSink collects the text of an unstreamed answer.
type textSink struct {
	text strings.Builder
}

var _ mangocall.Sink = (*textSink)(nil)

// Token implements mangocall.Sink.
func (s *textSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// encodeAnswer encodes an answer or event with the text. The result is nil for events before the last one.
func encodeAnswer(completion Completion, text string, result *mangocall.Result) []byte {
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
