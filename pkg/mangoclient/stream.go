package mangoclient

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxEventSize bounds a line of a server-sent event, in bytes.
const maxEventSize = 1 << 20

// Stream runs a completion and passes each piece of text to onText as it arrives. An error of onText ends the stream. The
// completion is whole only if the returned error is nil.
func (c *Callers) Stream(ctx context.Context, request CompletionRequest, onText func(text string) error) (Completion, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.postCompletion(ctx, request, true)
	if err != nil {
		return Completion{}, err
	}
	defer func() { _ = response.Body.Close() }()
	r := &eventReader{completion: Completion{Call: response.Header.Get("Mangopath-Call")}, onText: onText}
	return r.read(response.Body)
}

// eventReader assembles a completion from the server-sent events of one answer.
type eventReader struct {
	completion Completion
	onText     func(string) error
	text       strings.Builder
	// event is the type of the present event, or empty for the default type.
	event string
}

// read reads events until the end marker or an error.
func (r *eventReader) read(body io.Reader) (Completion, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxEventSize)
	for lines.Scan() {
		done, err := r.handleLine(lines.Text())
		r.completion.Text = r.text.String()
		if done || err != nil {
			return r.completion, err
		}
	}
	r.completion.Text = r.text.String()
	return r.completion, truncatedError(r.completion.Call, lines.Err())
}

// handleLine handles one line of the stream and reports whether it is the end marker of a whole answer.
func (r *eventReader) handleLine(line string) (bool, error) {
	if line == "" {
		r.event = ""
		return false, nil
	}
	if event, found := strings.CutPrefix(line, "event: "); found {
		r.event = event
		return false, nil
	}
	data, found := strings.CutPrefix(line, "data: ")
	if !found {
		return false, nil
	}
	if r.event == "error" {
		return false, callError("Stream", http.StatusGatewayTimeout, []byte(data))
	}
	if data != "[DONE]" {
		return false, r.handleChunk(data)
	}
	if r.completion.FinishReason == "" {
		return false, truncatedError(r.completion.Call, nil)
	}
	return true, nil
}

// handleChunk handles the data of an event with a piece of the answer or with its finish reason.
func (r *eventReader) handleChunk(data string) error {
	var answer completionResponse
	if err := json.Unmarshal([]byte(data), &answer); err != nil || len(answer.Choices) != 1 {
		return truncatedError(r.completion.Call, errors.Errorf("event data %q is not a chunk of a completion", data))
	}
	if choice := answer.Choices[0]; choice.FinishReason != "" {
		r.completion.FinishReason, r.completion.Tokens = choice.FinishReason, answer.Usage.CompletionTokens
		return nil
	}
	r.text.WriteString(answer.Choices[0].Text)
	if err := r.onText(answer.Choices[0].Text); err != nil {
		return &Error{Op: "Stream", Kind: KindStopped, Outcome: "Unknown", Call: r.completion.Call, Err: err}
	}
	return nil
}
