package mangogateway

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

// completionBody has the fields of the completion API that are used; others are ignored. If a field is given twice, the last
// value counts. Only these values are passed on, not the body, so that no upstream can read it differently.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// parseCompletion decodes the body of a completion request and checks its values against the bounds.
func parseCompletion(data []byte, maxPrompt, maxTokens int) (completionBody, error) {
	var body completionBody
	if !utf8.Valid(data) {
		return body, rejectedError("Parse", mangocall.KindInvalid, errors.New("the body is not UTF-8"))
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, rejectedError("Parse", mangocall.KindInvalid, errors.Wrap(err, "the body is not a completion request in JSON"))
	}
	if err := checkName("field model", body.Model); err != nil {
		return body, err
	}
	if body.Prompt == "" {
		return body, rejectedError("Parse", mangocall.KindInvalid, errors.New("field prompt is missing or empty"))
	}
	if len(body.Prompt) > maxPrompt {
		return body, rejectedError("Parse", mangocall.KindTooLarge, errors.Errorf("field prompt is longer than %d bytes", maxPrompt))
	}
	if body.MaxTokens != nil && (*body.MaxTokens < 1 || *body.MaxTokens > maxTokens) {
		return body, rejectedError("Parse", mangocall.KindInvalid,
			errors.Errorf("field max_tokens is %d; it must be from 1 to %d", *body.MaxTokens, maxTokens))
	}
	return body, nil
}
