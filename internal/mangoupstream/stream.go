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

// errStreamClosed is the error of a stream that was closed by this side.
var errStreamClosed = errors.New("stream closed locally")

// stream implements Stream as one HTTP request whose body and response body are sent at the same time, with a JSON message
// on each line. Its reader goroutine ends when the connection is closed.
type stream struct {
	options options
	address string
	conn    net.Conn
	writer  *bufio.Writer
	chunks  io.WriteCloser
	scanner *bufio.Scanner

	// stepMu is held during a step, so that only one at a time is pending.
	stepMu sync.Mutex
	// mu protects pendingStep and closeErr.
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

// initScanner sets the response body from which lines are read.
func (s *stream) initScanner(body io.Reader) {
	s.scanner = bufio.NewScanner(body)
	s.scanner.Buffer(nil, s.options.maxLine)
}

// send writes a message as one line.
func (s *stream) send(message any) error {
	line, err := json.Marshal(message)
	if err != nil {
		return &Error{Kind: KindNotSent, Err: err}
	}
	if len(line) >= s.options.maxLine {
		return &Error{Kind: KindNotSent, Err: errors.New("the message exceeds the maximum line length")}
	}
	if _, err := s.chunks.Write(append(line, '\n')); err != nil {
		return err
	}
	return s.writer.Flush()
}

// receive reads a message from one line.
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

// readResults reads results and delivers them to the pending step until the connection is closed.
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

// deliver passes a result to the pending step. It reports false if there is none or the result does not match it.
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

// resultMatches reports whether a result belongs to a step. For a step with count 0 it accepts any count, since only the
// engine knows into how many tokens a prompt splits.
func resultMatches(step *mangomessage.Step, result *mangomessage.StepResult) bool {
	return result.GetCall() == step.GetCall() &&
		result.GetAttempt() == step.GetAttempt() &&
		result.GetPosition() == step.GetPosition() &&
		(step.GetCount() == 0 || result.GetCount() == step.GetCount()) &&
		result.GetFromLayer() == step.GetFromLayer() &&
		result.GetToLayer() == step.GetToLayer() &&
		result.GetVersion() == step.GetVersion()
}

// Step implements Stream. A step that fails, or whose context ends, closes the stream.
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

// resultOrError returns a result that arrived just before the stream was closed, or the error that closed it.
func (s *stream) resultOrError(ctx context.Context) (*mangomessage.StepResult, error) {
	select {
	case result := <-s.results:
		return result, nil
	default:
		return nil, s.options.hooks.failed(s.address, classifyError(ctx, "Step", s.closeError()))
	}
}

// setPendingStep sets the step that the next result must match. It returns an error if the stream is closed.
func (s *stream) setPendingStep(step *mangomessage.Step) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return s.closeErr
	}
	s.pendingStep = step
	return nil
}

// closeError returns the error that closed the stream, or nil while it is open.
func (s *stream) closeError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeErr
}

// closeWithError closes the connection and keeps the error as the reason. Only its first call has an effect.
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

// Close implements Stream. It also ends the reader goroutine.
func (s *stream) Close() error {
	s.abort()
	return nil
}
