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

// completionReply holds the fields that are read of a completion or of one event of its stream.
type completionReply struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStreamReply reads the server-sent events of a completion and the arrival time of each token. The answer is whole only
// if both a finish reason and the end marker [DONE] have arrived.
func readStreamReply(ctx context.Context, body io.Reader) attemptResult {
	var result attemptResult
	var text strings.Builder
	finished := false
	event := ""
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			result.outcome, result.detail = brokenReplyOutcome(ctx), "read stream: "+err.Error()
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
				result.outcome, result.detail = Malformed, "end marker [DONE] arrived without a finish reason"
			}
			return result
		default:
			var c completionReply
			if err := json.Unmarshal([]byte(value), &c); err != nil || len(c.Choices) == 0 {
				result.outcome, result.detail = Malformed, "event holds no choices: "+value
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

// withErrorEvent returns the result with the outcome and pause that an error event states.
func (a attemptResult) withErrorEvent(data string) attemptResult {
	var body mangomessage.CallErrorBody
	a.detail = "error event: " + data
	if json.Unmarshal([]byte(data), &body) == nil && body.Error != nil {
		a.outcome = Outcome(body.Error.Outcome)
		a.retryAfter = milliseconds(int64(body.Error.RetryAfterMs))
	}
	return a.withValidOutcome()
}
