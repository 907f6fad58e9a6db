package mangoupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"

	"mangopath.org/mangopath/pkg/mangomessage"
)

var _ Stream = (*stream)(nil)

// errStreamClosed is the end of a stream that this side closed.
var errStreamClosed = errors.New("stream closed")

// stream is one full-duplex request. Its reader goroutine ends when the connection does.
type stream struct {
	options options
	address string
	conn    net.Conn
	writer  *bufio.Writer
	chunks  io.WriteCloser
	scanner *bufio.Scanner

	// stepMu serialises steps, of which one at a time may wait.
	stepMu sync.Mutex
	// mu protects waiting and failure.
	mu          sync.Mutex
	pendingStep *mangomessage.Step
	closeErr    error
	results     chan *mangomessage.StepResult
	done        chan struct{}
	closeOnce   sync.Once
}

func newStream(conn net.Conn, address string, o options) *stream {
	return &stream{
		options: o,
		address: address,
		conn:    conn,
		writer:  bufio.NewWriter(conn),
		results: make(chan *mangomessage.StepResult, 1),
		done:    make(chan struct{}),
	}
}

func (s *stream) initScanner(body io.Reader) {
	s.scanner = bufio.NewScanner(body)
	s.scanner.Buffer(nil, s.options.maxLine)
}

func (s *stream) send(message any) error {
	line, err := json.Marshal(message)
	if err != nil {
		return &Error{Kind: KindNotSent, Err: err}
	}
	if len(line) >= s.options.maxLine {
		return &Error{Kind: KindNotSent, Err: errors.New("line is longer than allowed")}
	}
	if _, err := s.chunks.Write(append(line, '\n')); err != nil {
		return err
	}
	return s.writer.Flush()
}

func (s *stream) receive(message any) error {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
			return &Error{Kind: KindProtocol, Err: err}
		} else if err != nil {
			return err
		}
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(s.scanner.Bytes(), message); err != nil {
		return &Error{Kind: KindProtocol, Err: err}
	}
	return nil
}

// readResults hands results to the waiting step until the connection ends.
func (s *stream) readResults() {
	for {
		result := new(mangomessage.StepResult)
		if err := s.receive(result); err != nil {
			s.closeWithError(err)
			return
		}
		if !s.deliver(result) {
			s.options.hooks.dropped(s.address)
		}
	}
}

// deliver hands a result to the step that waits for it and reports false when there is none.
func (s *stream) deliver(result *mangomessage.StepResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingStep == nil || !resultMatches(s.pendingStep, result) {
		return false
	}
	s.pendingStep = nil
	s.results <- result
	return true
}

// resultMatches accepts any count for a step without one, since only engines know how a prompt splits.
func resultMatches(step *mangomessage.Step, result *mangomessage.StepResult) bool {
	return result.GetCall() == step.GetCall() &&
		result.GetAttempt() == step.GetAttempt() &&
		result.GetPosition() == step.GetPosition() &&
		(step.GetCount() == 0 || result.GetCount() == step.GetCount()) &&
		result.GetFromLayer() == step.GetFromLayer() &&
		result.GetToLayer() == step.GetToLayer() &&
		result.GetVersion() == step.GetVersion()
}

// Step sends a step and waits for its result. A step that fails or misses its context ends the stream.
func (s *stream) Step(ctx context.Context, step *mangomessage.Step) (*mangomessage.StepResult, error) {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if err := s.setPendingStep(step); err != nil {
		return nil, s.options.hooks.failed(s.address, &Error{Op: "Step", Kind: KindNotSent, Err: err})
	}
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	if err := s.send(step); err != nil {
		failed := classifyError(ctx, "Step", err)
		s.closeWithError(err)
		return nil, s.options.hooks.failed(s.address, failed)
	}
	select {
	case result := <-s.results:
		return result, nil
	case <-s.done:
		return s.resultOrError(ctx)
	}
}

// resultOrError returns a result that arrived just before the stream ended, or the error that ended it.
func (s *stream) resultOrError(ctx context.Context) (*mangomessage.StepResult, error) {
	select {
	case result := <-s.results:
		return result, nil
	default:
		return nil, s.options.hooks.failed(s.address, classifyError(ctx, "Step", s.closeError()))
	}
}

// setPendingStep registers the step that the next result must match.
func (s *stream) setPendingStep(step *mangomessage.Step) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return s.closeErr
	}
	s.pendingStep = step
	return nil
}

func (s *stream) closeError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeErr
}

// closeWithError closes the connection; the first error is kept as the reason.
func (s *stream) closeWithError(err error) {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		s.closeErr = err
		s.pendingStep = nil
		s.mu.Unlock()
		_ = s.conn.Close()
		close(s.done)
	})
}

func (s *stream) abort() { s.closeWithError(errStreamClosed) }

// Close ends the connection and its reader.
func (s *stream) Close() error {
	s.abort()
	return nil
}
