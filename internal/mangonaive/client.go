package mangonaive

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// stageStream is the connection to one replica that carries the steps of a call on one stage. Messages in both
// directions are lines of JSON.
type stageStream struct {
	open        *mangomessage.Open
	decoder     *json.Decoder
	requestBody *io.PipeWriter
	// replyBody is the reader of the request's pipe until the reply has arrived.
	replyBody io.Closer
	cancel    context.CancelFunc
	timeout   time.Duration
}

// openStream connects to a replica and opens a stream, with Open as the first line of the request's body.
func (r *Router) openStream(ctx context.Context, replica string, open *mangomessage.Open) (*stageStream, error) {
	line, err := json.Marshal(open)
	if err != nil {
		return nil, errors.Wrap(err, "encode open")
	}
	ctx, cancel := context.WithCancel(ctx)
	reader, pipe := io.Pipe()
	s := &stageStream{open: open, requestBody: pipe, replyBody: reader, cancel: cancel, timeout: r.timeout}
	timer := time.AfterFunc(r.timeout, cancel)
	defer timer.Stop()
	if err := s.connect(ctx, r.client, replica, io.MultiReader(bytes.NewReader(append(line, '\n')), reader)); err != nil {
		s.close()
		return nil, errors.Wrapf(err, "open on %s", replica)
	}
	return s, nil
}

// connect sends the request and waits until the replica accepts the stream.
func (s *stageStream) connect(ctx context.Context, client *http.Client, replica string, body io.Reader) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+replica+"/v1/stream", body)
	if err != nil {
		return err
	}
	reply, err := client.Do(request) //nolint:bodyclose // The body is closed with the stream, by close.
	if err != nil {
		return err
	}
	s.replyBody, s.decoder = reply.Body, json.NewDecoder(reply.Body)
	opened := &mangomessage.Opened{}
	if err := s.decoder.Decode(opened); err != nil {
		return err
	}
	if !opened.Accepted {
		return errors.Errorf("replica refused the stream: %s", opened.Reason)
	}
	return nil
}

// runStep sends a step and waits for its result until the timeout, which closes the stream.
func (s *stageStream) runStep(step *mangomessage.Step) (*mangomessage.StepResult, error) {
	o := s.open
	step.Call, step.Attempt, step.Version = o.Call, o.Attempt, o.Version
	step.FromLayer, step.ToLayer = o.FromLayer, o.ToLayer
	timer := time.AfterFunc(s.timeout, s.close)
	defer timer.Stop()
	if err := json.NewEncoder(s.requestBody).Encode(step); err != nil {
		return nil, errors.Wrap(err, "send step")
	}
	result := &mangomessage.StepResult{}
	if err := s.decoder.Decode(result); err != nil {
		return nil, errors.Wrap(err, "read step result")
	}
	if result.Error != "" {
		return nil, errors.Errorf("step did not run: %s", result.Error)
	}
	return result, nil
}

func (s *stageStream) close() {
	s.cancel()
	_ = s.requestBody.Close()
	_ = s.replyBody.Close()
}

// sendServiceCall sends a service call to a replica and forwards the answer to the caller. A status of 500 or above is an
// error.
func (r *Router) sendServiceCall(w http.ResponseWriter, request *http.Request, replica string, body []byte) error {
	ctx, cancel := context.WithTimeout(request.Context(), r.timeout)
	defer cancel()
	url := "http://" + replica + "/" + request.PathValue("path")
	sent, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	sent.Header.Set("Content-Type", request.Header.Get("Content-Type"))
	sent.Header.Set("Idempotency-Key", request.Header.Get("Idempotency-Key"))
	reply, err := r.client.Do(sent)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("service call returned status %d from %s", reply.StatusCode, replica)
	}
	w.Header().Set("Content-Type", reply.Header.Get("Content-Type"))
	w.Header().Set("Mangopath-Outcome", "Answer")
	w.WriteHeader(reply.StatusCode)
	_, _ = w.Write(data)
	return nil
}
