package mangoload

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionReply is a whole answer or an event of a stream.
type completionReply struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStreamReply reads server-sent events and notes when each token came. An answer is whole when a finish reason and the
// end mark came.
func readStreamReply(ctx context.Context, body io.Reader) attemptResult {
	var result attemptResult
	var text strings.Builder
	finished := false
	event := ""
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			result.outcome, result.detail = brokenReplyOutcome(ctx), "stream ended: "+err.Error()
			return result
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "":
			event = ""
		case name == "event":
			event = value
		case name != "data":
		case event == "error":
			return result.withErrorEvent(value)
		case value == "[DONE]":
			result.outcome, result.text = Answered, text.String()
			if !finished {
				result.outcome, result.detail = Malformed, "end mark without finish reason"
			}
			return result
		default:
			var c completionReply
			if err := json.Unmarshal([]byte(value), &c); err != nil || len(c.Choices) == 0 {
				result.outcome, result.detail = Malformed, "event without choices: "+value
				return result
			}
			if c.Choices[0].Text != "" {
				text.WriteString(c.Choices[0].Text)
				result.tokenTimes = append(result.tokenTimes, time.Now())
			}
			finished = finished || c.Choices[0].FinishReason != ""
		}
	}
}

// withErrorEvent takes the outcome of an error event.
func (a attemptResult) withErrorEvent(data string) attemptResult {
	var body mangomessage.CallErrorBody
	a.detail = "error event: " + data
	if json.Unmarshal([]byte(data), &body) == nil && body.Error != nil {
		a.outcome = Outcome(body.Error.Outcome)
		a.retryAfter = milliseconds(int64(body.Error.RetryAfterMs))
	}
	return a.withValidOutcome()
}
