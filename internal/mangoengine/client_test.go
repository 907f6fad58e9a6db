package mangoengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testModel(end float64) Model {
	return Model{Name: "m", Version: "1", Adapters: []string{"a"}, EndProbability: end}
}

// start runs an engine with layers [from, to) behind HTTP.
func start(t *testing.T, from, to uint32, options ...Option) (*Engine, *httptest.Server) {
	t.Helper()
	e := New("h", LayerRange{Model: testModel(0.05), From: from, To: to}, options...)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.CloseClientConnections()
		cancel()
		<-e.ended
		server.Close()
	})
	return e, server
}

// testStream is the caller's end of a stream.
type testStream struct {
	t      *testing.T
	open   *mangomessage.Open
	opened mangomessage.Opened
	lines  *json.Decoder
	writer *io.PipeWriter
	body   io.Closer
}

func openStream(t *testing.T, server *httptest.Server, open *mangomessage.Open) *testStream {
	t.Helper()
	reader, writer := io.Pipe()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/v1/stream", reader)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = json.NewEncoder(writer).Encode(open) }()
	reply, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reply.Body.Close() })
	s := &testStream{t: t, open: open, lines: json.NewDecoder(reply.Body), writer: writer, body: reply.Body}
	t.Cleanup(s.close)
	if err := s.lines.Decode(&s.opened); err != nil {
		t.Fatal(err)
	}
	return s
}

func openFor(from, to uint32, resume bool) *mangomessage.Open {
	return &mangomessage.Open{
		Call: "c", Attempt: 1, Model: "m", Version: "1", Adapters: []string{"a"}, FromLayer: from, ToLayer: to,
		Resume: resume, PrefixDigest: "p",
	}
}

func (s *testStream) close() {
	_ = s.writer.Close()
	_ = s.body.Close()
}

// step sends a step and returns its result, or nil when the stream ended.
func (s *testStream) step(position uint32, text string, tokens []uint32, hidden []byte) *mangomessage.StepResult {
	step := &mangomessage.Step{
		Call: "c", Attempt: 1, Position: position, FromLayer: s.open.FromLayer, ToLayer: s.open.ToLayer, Version: "1",
		Text: text, Tokens: tokens, Hidden: hidden,
	}
	if err := json.NewEncoder(s.writer).Encode(step); err != nil {
		return nil
	}
	result := &mangomessage.StepResult{}
	if err := s.lines.Decode(result); err != nil {
		return nil
	}
	return result
}

// send returns the status and decodes the reply.
func send(t *testing.T, server *httptest.Server, method, path string, body, into any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	reply, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	if into != nil && reply.StatusCode == http.StatusOK {
		if err := json.NewDecoder(reply.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return reply.StatusCode
}
