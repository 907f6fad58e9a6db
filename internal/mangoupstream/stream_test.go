package mangoupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// engineServer starts an engine that answers Open with opened, and each step with the messages that reply returns.
func engineServer(tb testing.TB, opened *mangomessage.Opened, reply func(*mangomessage.Step) []any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		lines, out := bufio.NewScanner(r.Body), json.NewEncoder(w)
		lines.Scan()
		_ = out.Encode(opened)
		_ = control.Flush()
		for lines.Scan() {
			step := new(mangomessage.Step)
			_ = json.Unmarshal(lines.Bytes(), step)
			for _, line := range reply(step) {
				_ = out.Encode(line)
			}
			_ = control.Flush()
		}
	}))
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// echo returns the result that matches a step.
func echo(s *mangomessage.Step) *mangomessage.StepResult {
	return &mangomessage.StepResult{
		Call: s.GetCall(), Attempt: s.GetAttempt(), Position: s.GetPosition(), Count: s.GetCount(),
		FromLayer: s.GetFromLayer(), ToLayer: s.GetToLayer(), Version: s.GetVersion(), Hidden: s.GetHidden(),
	}
}

func testStep(position uint32) *mangomessage.Step {
	return &mangomessage.Step{
		Call: "c", Attempt: 1, Position: position, Count: 1, FromLayer: 2, ToLayer: 4, Version: "v", Hidden: make([]byte, 256),
	}
}

// Guards against a result of another call, attempt, position, range or version being taken for the step's own.
func TestStepDropsOtherResults(t *testing.T) {
	is := is.New(t)
	var dropped atomic.Int32
	address := engineServer(t, &mangomessage.Opened{Accepted: true}, func(s *mangomessage.Step) []any {
		lines := []any{}
		for _, change := range []func(*mangomessage.StepResult){
			func(r *mangomessage.StepResult) { r.Call = "d" },
			func(r *mangomessage.StepResult) { r.Attempt++ },
			func(r *mangomessage.StepResult) { r.Position++ },
			func(r *mangomessage.StepResult) { r.Count++ },
			func(r *mangomessage.StepResult) { r.FromLayer-- },
			func(r *mangomessage.StepResult) { r.ToLayer++ },
			func(r *mangomessage.StepResult) { r.Version = "w" },
		} {
			other := echo(s)
			change(other)
			lines = append(lines, other)
		}
		own := echo(s)
		own.Token = 100 + s.GetPosition()
		return append(lines, own, echo(s))
	})
	client := New(WithHooks(Hooks{Dropped: func(string) { dropped.Add(1) }}))
	stream, opened, err := client.Open(t.Context(), address, &mangomessage.Open{Call: "c"})
	is.NoErr(err)
	is.True(opened.GetAccepted())
	defer func() { is.NoErr(stream.Close()) }()
	for position := range uint32(3) {
		result, err := stream.Step(t.Context(), testStep(position))
		is.NoErr(err)
		is.Equal(result.GetToken(), 100+position)
	}
	is.True(dropped.Load() >= 23) // 7 in each of 3 steps, and the repeated results before the second and third step
}

// Guards against a step that waits for a hung engine beyond its deadline, and against reuse of the stream after that.
func TestStepDeadlineEndsStream(t *testing.T) {
	is := is.New(t)
	address := engineServer(t, &mangomessage.Opened{Accepted: true}, func(*mangomessage.Step) []any { return nil })
	stream, _, err := New().Open(t.Context(), address, &mangomessage.Open{Call: "c"})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, err = stream.Step(ctx, testStep(0))
	is.Equal(kindOf(err), KindTimeout)
	is.True(time.Since(started) < 2*time.Second)
	_, err = stream.Step(t.Context(), testStep(0))
	is.Equal(kindOf(err), KindNotSent)
}

// Guards against errors that report a refusal or a malformed reply as a lost connection.
func TestOpenErrors(t *testing.T) {
	cases := []struct {
		name   string
		opened *mangomessage.Opened
		want   Kind
	}{
		{"leaving", &mangomessage.Opened{Reason: "Leaving"}, KindRefused},
		{"no state", &mangomessage.Opened{Reason: "NoState"}, KindNoState},
		{"long line", &mangomessage.Opened{Reason: strings.Repeat("x", 2000)}, KindProtocol},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stream, _, err := New(WithMaxLine(1000)).Open(t.Context(), engineServer(t, c.opened, nil), &mangomessage.Open{})
			is.Equal(kindOf(err), c.want)
			is.True(stream == nil)
		})
	}
}

func kindOf(err error) Kind {
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return 0
}

// BenchmarkStep measures the time and the CPU time of a step over loopback, for client and server together.
func BenchmarkStep(b *testing.B) {
	address := engineServer(b, &mangomessage.Opened{Accepted: true}, func(s *mangomessage.Step) []any { return []any{echo(s)} })
	stream, _, err := New().Open(b.Context(), address, &mangomessage.Open{Call: "c"})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	step, before := testStep(0), processorTime(b)
	for b.Loop() {
		if _, err := stream.Step(b.Context(), step); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}
