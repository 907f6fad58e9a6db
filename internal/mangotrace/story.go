package mangotrace

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// before is the time before the arrival of a request from which beliefs about its replicas matter; a replica is
	// avoided for up to 3.2 s.
	before = 4 * time.Second
	// clocks is the time by which the clocks of daemons may differ.
	clocks = time.Second
	// maxBeliefs bounds the lines about replicas, of which a lost data centre gives hundreds.
	maxBeliefs = 40
)

// Trace is what the logs say of one request.
type Trace struct {
	ID string
	// Requests are the lines that name the request, and Beliefs those about the replicas that failed it.
	RequestLines []Line
	ReplicaLines  []Line
	// Missing says what a reader cannot learn from the logs.
	Missing []string
}

// Assemble returns the story of a request; the error is KindUnknown if no line names it.
func Assemble(logs []Log, id string) (Trace, error) {
	s := Trace{ID: id}
	damaged := 0
	for _, g := range logs {
		damaged += g.MalformedLines
		for _, l := range g.Lines {
			if l.Get("request") == id {
				s.RequestLines = append(s.RequestLines, l)
			}
		}
	}
	if len(s.RequestLines) == 0 {
		return s, &Error{Op: "Tell", Kind: KindUnknown, Err: errors.Errorf("no line is about request %q", id)}
	}
	byTime(s.RequestLines)
	from, to := s.span()
	replicas, daemons := s.concerned(), s.daemons()
	for _, g := range logs {
		for _, l := range g.Lines {
			if l.At.Before(from.Add(-before)) || l.At.After(to.Add(clocks)) || l.Get("request") == id {
				continue
			}
			switch {
			case l.Event() == "lines_dropped":
				s.Missing = append(s.Missing, fmt.Sprintf("%s dropped %s lines at %s", name(l), l.Get("count"), clock(l)))
			case replicas[l.Get("replica")] && (ordered(l) || (believed(l) && daemons[name(l)] && !l.At.After(to))):
				s.ReplicaLines = append(s.ReplicaLines, l)
			}
		}
	}
	byTime(s.ReplicaLines)
	if n := len(s.ReplicaLines) - maxBeliefs; n > 0 {
		s.ReplicaLines = s.ReplicaLines[n:]
		s.Missing = append(s.Missing, fmt.Sprintf("%d earlier lines about its replicas are left out", n))
	}
	s.Missing = append(s.Missing, s.gaps()...)
	if damaged > 0 {
		s.Missing = append(s.Missing, fmt.Sprintf("%d lines could not be read", damaged))
	}
	return s, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// span returns the time from the arrival of the request to its last line.
func (s Trace) span() (from, to time.Time) {
	from, to = s.RequestLines[0].At, s.RequestLines[len(s.RequestLines)-1].At
	for _, l := range s.RequestLines {
		for _, key := range []string{"since_ms", "took_ms"} {
			if ms, err := strconv.Atoi(l.Get(key)); err == nil {
				if began := l.At.Add(-time.Duration(ms) * time.Millisecond); began.Before(from) {
					from = began
				}
			}
		}
	}
	return from, to
}

// concerned returns the replicas that sends without a final answer passed through.
func (s Trace) concerned() map[string]bool {
	replicas := map[string]bool{}
	for _, l := range s.RequestLines {
		if l.Event() != "request_sent" || l.Get("result") == "Delivered" {
			continue
		}
		if fault := l.Get("fault"); fault != "" {
			replicas[fault] = true
			continue
		}
		for _, id := range strings.Split(l.Get("chain"), ">") {
			if id != "" {
				replicas[id] = true
			}
		}
	}
	return replicas
}

// daemons returns the daemons that served the request.
func (s Trace) daemons() map[string]bool {
	names := map[string]bool{}
	for _, l := range s.RequestLines {
		names[name(l)] = true
	}
	return names
}

// believed reports whether a line is about what its daemon believes of a replica. Only what the serving daemon believed
// decided about the request; the others say the same at about the same time.
func believed(l Line) bool { return strings.HasPrefix(l.Event(), "replica_") }

// ordered reports whether a line is about the layers of a replica, which one daemon decides for all.
func ordered(l Line) bool { return l.Event() == "order_given" || l.Event() == "loss_checked" }

// gaps returns what the lines of the request show to be missing.
func (s Trace) gaps() []string {
	sent, done := map[string]bool{}, false
	most := 0
	for _, l := range s.RequestLines {
		switch l.Event() {
		case "request_sent":
			sent[l.Get("send")] = true
		case "request_done":
			done = true
			most, _ = strconv.Atoi(l.Get("sends"))
		}
	}
	var gaps []string
	if !done {
		gaps = append(gaps, "no line says how the request ended")
	}
	for n := 1; n <= most; n++ {
		if !sent[strconv.Itoa(n)] {
			gaps = append(gaps, fmt.Sprintf("no line is about send %d", n))
		}
	}
	return gaps
}

// Write writes the story, one event a line with the time since the arrival of the request.
func (s Trace) Write(w io.Writer) error {
	var b strings.Builder
	from, to := s.span()
	fmt.Fprintf(&b, "request %s, %s to %s\n", s.ID, from.UTC().Format(time.RFC3339Nano), to.UTC().Format("15:04:05.000"))
	lines := append(slices.Clone(s.RequestLines), s.ReplicaLines...)
	byTime(lines)
	for _, l := range lines {
		fmt.Fprintf(&b, "%+9.3fs  %-20s %-18s %s\n", l.At.Sub(from).Seconds(), name(l), l.Event(), details(l))
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// name returns the daemon of a line: the last word that a log collector wrote, or the source.
func name(l Line) string {
	words := strings.Fields(l.Prefix)
	if len(words) > 0 {
		return words[len(words)-1]
	}
	return l.Source
}

func clock(l Line) string { return l.At.UTC().Format("15:04:05.000") }

// details returns the fields that the other columns do not show.
func details(l Line) string {
	var words []string
	for _, f := range l.Fields {
		switch f.Key {
		case "time", "level", "msg", "event", "request":
		default:
			value := f.Value
			if value == "" || strings.ContainsAny(value, " \"=") {
				value = strconv.Quote(value)
			}
			words = append(words, f.Key+"="+value)
		}
	}
	return strings.Join(words, " ")
}
