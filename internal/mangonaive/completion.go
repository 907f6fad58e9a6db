package mangonaive

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"mangopath.org/mangopath/pkg/mangomessage"
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// completionWriter sends a completion to the caller, as a stream of events or in one reply.
type completionWriter struct {
	http.ResponseWriter
	id      string
	request completionRequest
	text    strings.Builder
	tokens  int
}

// writeEvent sends one event of the stream.
func (w *completionWriter) writeEvent(c choice, u *usage) {
	data, _ := json.Marshal(completion{w.id, "text_completion", w.request.Model, []choice{c}, u})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	// Errors are ignored here: the context of the request ends when the caller closes the connection.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// writeToken adds a token to the answer and sends it at once in a stream.
func (w *completionWriter) writeToken(text string) {
	if w.tokens == 0 && w.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Mangopath-Outcome", "Answer")
	}
	w.tokens++
	w.text.WriteString(text)
	if w.request.Stream {
		w.writeEvent(choice{Text: text}, nil)
	}
}

// finish sends the finish reason and the end marker of a stream, or else the whole answer.
func (w *completionWriter) finish(reason string) {
	if w.request.Stream {
		w.writeEvent(choice{FinishReason: reason}, &usage{w.tokens})
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Mangopath-Outcome", "Answer")
	_ = json.NewEncoder(w).Encode(completion{
		w.id, "text_completion", w.request.Model,
		[]choice{{Text: w.text.String(), FinishReason: reason}},
		&usage{w.tokens},
	})
}

// serveCompletion runs a completion and starts over on the next chain after a failure. A stream whose first token has
// been sent cannot start over; it ends with an error event and an aborted connection.
func (r *Router) serveCompletion(w http.ResponseWriter, request *http.Request) {
	var c completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBodyBytes)).Decode(&c)
	p := r.profiles[c.Model]
	if err != nil || p == nil || len(p.Stages) == 0 || c.MaxTokens <= 0 {
		writeError(w, http.StatusBadRequest, "Rejected", "unknown profile or invalid body")
		return
	}
	for range r.retries + 1 {
		out := &completionWriter{ResponseWriter: w, id: newCallID(), request: c}
		if err = r.runAttempt(request.Context(), p, out); err == nil {
			return
		}
		if c.Stream && out.tokens > 0 {
			data, _ := json.Marshal(errorBody("Unknown", err.Error()))
			_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	writeError(w, http.StatusBadGateway, "Unknown", err.Error())
}

// runAttempt opens a stream on each replica of a chain and generates the tokens of the call.
func (r *Router) runAttempt(ctx context.Context, p *Profile, out *completionWriter) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams []*stageStream
	for i, replica := range r.nextChain(p) {
		s, err := r.openStream(ctx, replica, &mangomessage.Open{
			Call: out.id, Attempt: 1, Model: p.Model, Version: p.Version, Adapters: p.Adapters,
			FromLayer: p.Stages[i].FromLayer, ToLayer: p.Stages[i].ToLayer,
		})
		if err != nil {
			return err
		}
		defer s.close()
		streams = append(streams, s)
	}
	step := mangomessage.Step{Text: out.request.Prompt}
	for out.tokens < out.request.MaxTokens {
		result, err := runStepOnChain(streams, &step)
		if err != nil {
			return err
		}
		out.writeToken(result.Text)
		if result.End {
			out.finish("stop")
			return nil
		}
		step.Position, step.Text, step.Tokens = step.Position+result.Count, "", []uint32{result.Token}
	}
	out.finish("length")
	return nil
}

// runStepOnChain runs a step on all stages in order: the first one takes the text or tokens, each later one the hidden
// state of the one before. It returns the result of the last stage.
func runStepOnChain(streams []*stageStream, step *mangomessage.Step) (*mangomessage.StepResult, error) {
	var result *mangomessage.StepResult
	for i, s := range streams {
		next := &mangomessage.Step{Position: step.Position, Text: step.Text, Tokens: step.Tokens}
		if i > 0 {
			next = &mangomessage.Step{Position: step.Position, Count: result.Count, Hidden: result.Hidden}
		}
		var err error
		if result, err = s.runStep(next); err != nil {
			return nil, err
		}
	}
	return result, nil
}
