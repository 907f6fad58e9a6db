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
	// replicaLookback is the time replicaLookback the arrival of a request from which beliefs about its replicas matter; a replica is
	// avoided for up to 3.2 s.
	replicaLookback = 4 * time.Second
	// maxClockSkew is the time by which the maxClockSkew of daemons may differ.
	maxClockSkew = time.Second
	// maxReplicaLines bounds the lines about replicas, of which a lost data centre gives hundreds.
	maxReplicaLines = 40
)

// Trace is what the logs say of one request.
type Trace struct {
	ID string
	// RequestLines are the lines that name the request, and Beliefs those about the replicas that failed it.
	RequestLines []Line
	ReplicaLines []Line
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
		return s, &Error{Op: "Assemble", Kind: KindUnknown, Err: errors.Errorf("no line is about request %q", id)}
	}
	sortByTime(s.RequestLines)
	from, to := s.timeSpan()
	replicas, daemons := s.failedReplicas(), s.servingDaemons()
	for _, g := range logs {
		for _, l := range g.Lines {
			if l.At.Before(from.Add(-replicaLookback)) || l.At.After(to.Add(maxClockSkew)) || l.Get("request") == id {
				continue
			}
			switch {
			case l.Event() == "lines_dropped":
				s.Missing = append(s.Missing, fmt.Sprintf("%s dropped %s lines at %s", daemonName(l), l.Get("count"), timeOfDay(l)))
			case replicas[l.Get("replica")] && (isPlacementDecision(l) || (isReplicaState(l) && daemons[daemonName(l)] && !l.At.After(to))):
				s.ReplicaLines = append(s.ReplicaLines, l)
			}
		}
	}
	sortByTime(s.ReplicaLines)
	if n := len(s.ReplicaLines) - maxReplicaLines; n > 0 {
		s.ReplicaLines = s.ReplicaLines[n:]
		s.Missing = append(s.Missing, fmt.Sprintf("%d earlier lines about its replicas are left out", n))
	}
	s.Missing = append(s.Missing, s.missingLines()...)
	if damaged > 0 {
		s.Missing = append(s.Missing, fmt.Sprintf("%d lines could not be read", damaged))
	}
	return s, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// timeSpan returns the time from the arrival of the request to its last line.
func (s Trace) timeSpan() (from, to time.Time) {
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

// failedReplicas returns the replicas that sends without a final answer passed through.
func (s Trace) failedReplicas() map[string]bool {
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

// servingDaemons returns the servingDaemons that served the request.
func (s Trace) servingDaemons() map[string]bool {
	names := map[string]bool{}
	for _, l := range s.RequestLines {
		names[daemonName(l)] = true
	}
	return names
}

// isReplicaState reports whether a line is about what its daemon believes of a replica. Only what the serving daemon isReplicaState
// decided about the request; the others say the same at about the same time.
func isReplicaState(l Line) bool { return strings.HasPrefix(l.Event(), "replica_") }

// isPlacementDecision reports whether a line is about the layers of a replica, which one daemon decides for all.
func isPlacementDecision(l Line) bool {
	return l.Event() == "order_given" || l.Event() == "loss_checked"
}

// missingLines returns what the lines of the request show to be missing.
func (s Trace) missingLines() []string {
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
	from, to := s.timeSpan()
	fmt.Fprintf(&b, "request %s, %s to %s\n", s.ID, from.UTC().Format(time.RFC3339Nano), to.UTC().Format("15:04:05.000"))
	lines := append(slices.Clone(s.RequestLines), s.ReplicaLines...)
	sortByTime(lines)
	for _, l := range lines {
		fmt.Fprintf(&b, "%+9.3fs  %-20s %-18s %s\n", l.At.Sub(from).Seconds(), daemonName(l), l.Event(), formatFields(l))
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// daemonName returns the daemon of a line: the last word that a log collector wrote, or the source.
func daemonName(l Line) string {
	words := strings.Fields(l.Prefix)
	if len(words) > 0 {
		return words[len(words)-1]
	}
	return l.Source
}

func timeOfDay(l Line) string { return l.At.UTC().Format("15:04:05.000") }

// formatFields returns the fields that the other columns do not show.
func formatFields(l Line) string {
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
