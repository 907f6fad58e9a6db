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
	// replicaLookback is how long before the arrival of a request lines about its replicas are included; a replica is avoided
	// for up to 3.2 s.
	replicaLookback = 4 * time.Second
	// maxClockSkew is the time by which the clocks of daemons may differ.
	maxClockSkew = time.Second
	// maxReplicaLines bounds the lines about replicas; the loss of a data centre causes hundreds.
	maxReplicaLines = 40
)

// Trace has the log lines about one request.
type Trace struct {
	// ID is the id of the request.
	ID string
	// RequestLines are the lines that name the request.
	RequestLines []Line
	// ReplicaLines are the lines about the replicas that failed the request.
	ReplicaLines []Line
	// Missing describes the information that the logs lack.
	Missing []string
}

// Assemble returns the trace of a request; the error is of KindUnknown if no line names the request.
func Assemble(logs []Log, id string) (Trace, error) {
	t := Trace{ID: id}
	malformed := 0
	for _, g := range logs {
		malformed += g.MalformedLines
		for _, l := range g.Lines {
			if l.Get("request") == id {
				t.RequestLines = append(t.RequestLines, l)
			}
		}
	}
	if len(t.RequestLines) == 0 {
		return t, &Error{Op: "Assemble", Kind: KindUnknown, Err: errors.Errorf("no log line names request %q", id)}
	}
	sortByTime(t.RequestLines)
	from, to := t.timeSpan()
	replicas, daemons := t.failedReplicas(), t.servingDaemons()
	for _, g := range logs {
		for _, l := range g.Lines {
			if l.At.Before(from.Add(-replicaLookback)) || l.At.After(to.Add(maxClockSkew)) || l.Get("request") == id {
				continue
			}
			switch {
			case l.Event() == "lines_dropped":
				t.Missing = append(t.Missing, fmt.Sprintf("%s dropped %s lines at %s", daemonName(l), l.Get("count"), timeOfDay(l)))
			case replicas[l.Get("replica")] && (isPlacementDecision(l) || (isReplicaState(l) && daemons[daemonName(l)] && !l.At.After(to))):
				t.ReplicaLines = append(t.ReplicaLines, l)
			}
		}
	}
	sortByTime(t.ReplicaLines)
	if n := len(t.ReplicaLines) - maxReplicaLines; n > 0 {
		t.ReplicaLines = t.ReplicaLines[n:]
		t.Missing = append(t.Missing, fmt.Sprintf("%d earlier lines about its replicas are left out", n))
	}
	t.Missing = append(t.Missing, t.missingLines()...)
	if malformed > 0 {
		t.Missing = append(t.Missing, fmt.Sprintf("%d lines could not be read", malformed))
	}
	return t, nil
}

// sortByTime sorts lines by their time and keeps the order of lines with the same time.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// timeSpan returns the times of the request's arrival and of its last line.
func (t Trace) timeSpan() (from, to time.Time) {
	from, to = t.RequestLines[0].At, t.RequestLines[len(t.RequestLines)-1].At
	for _, l := range t.RequestLines {
		for _, key := range []string{"since_ms", "took_ms"} {
			if ms, err := strconv.Atoi(l.Get(key)); err == nil {
				if arrival := l.At.Add(-time.Duration(ms) * time.Millisecond); arrival.Before(from) {
					from = arrival
				}
			}
		}
	}
	return from, to
}

// failedReplicas returns the replicas that may have failed the request. For each send without a final answer, that is the
// replica logged as its fault, or all replicas of its chain if there is none; for each change of the path, the replaced ones.
func (t Trace) failedReplicas() map[string]bool {
	replicas := map[string]bool{}
	for _, l := range t.RequestLines {
		if l.Event() == "path_changed" {
			addIDs(replicas, l.Get("replaced"), ",")
		}
		if l.Event() != "request_sent" || l.Get("result") == "Delivered" {
			continue
		}
		if fault := l.Get("fault"); fault != "" {
			replicas[fault] = true
			continue
		}
		addIDs(replicas, l.Get("chain"), ">")
	}
	return replicas
}

// addIDs adds the ids of a list, which has a separator between two of them, to a set.
func addIDs(ids map[string]bool, list, separator string) {
	for _, id := range strings.Split(list, separator) {
		if id != "" {
			ids[id] = true
		}
	}
}

// servingDaemons returns the names of the daemons that served the request.
func (t Trace) servingDaemons() map[string]bool {
	names := map[string]bool{}
	for _, l := range t.RequestLines {
		names[daemonName(l)] = true
	}
	return names
}

// isReplicaState reports whether a line is about the state of a replica as its daemon sees it. Such lines are only taken
// from the serving daemons, whose view decided about the request; other daemons log the same at about the same time.
func isReplicaState(l Line) bool { return strings.HasPrefix(l.Event(), "replica_") }

// isPlacementDecision reports whether a line was written by the daemon that places layers: an order to a replica, or a check
// whether a replica is lost.
func isPlacementDecision(l Line) bool {
	return l.Event() == "order_given" || l.Event() == "loss_checked"
}

// missingLines describes the lines that the request must have had and that the logs lack.
func (t Trace) missingLines() []string {
	loggedSends, done := map[string]bool{}, false
	sends := 0
	for _, l := range t.RequestLines {
		switch l.Event() {
		case "request_sent", "connection_retried":
			loggedSends[l.Get("send")] = true
		case "request_done":
			done = true
			sends, _ = strconv.Atoi(l.Get("sends"))
		}
	}
	var missing []string
	if !done {
		missing = append(missing, "no line says how the request ended")
	}
	for n := 1; n <= sends; n++ {
		if !loggedSends[strconv.Itoa(n)] {
			missing = append(missing, fmt.Sprintf("no line is about send %d", n))
		}
	}
	return missing
}

// Write writes the trace as text, one event a line with the time since the arrival of the request.
func (t Trace) Write(w io.Writer) error {
	var b strings.Builder
	from, to := t.timeSpan()
	fmt.Fprintf(&b, "request %s, %s to %s\n", t.ID, from.UTC().Format(time.RFC3339Nano), to.UTC().Format("15:04:05.000"))
	lines := append(slices.Clone(t.RequestLines), t.ReplicaLines...)
	sortByTime(lines)
	for _, l := range lines {
		fmt.Fprintf(&b, "%+9.3fs  %-20s %-18s %s\n", l.At.Sub(from).Seconds(), daemonName(l), l.Event(), formatFields(l))
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// daemonName returns the name of the daemon that wrote a line: the last word of the prefix, or the source if there is no
// prefix.
func daemonName(l Line) string {
	words := strings.Fields(l.Prefix)
	if len(words) > 0 {
		return words[len(words)-1]
	}
	return l.Source
}

// timeOfDay returns the time of a line without the date.
func timeOfDay(l Line) string { return l.At.UTC().Format("15:04:05.000") }

// formatFields returns the fields of a line that Write does not show in other columns.
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
