package mangotrace

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineLength is the number of bytes that a line may have; the longest value, a chain of replicas, takes some hundred.
const maxLineLength = 1 << 20

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// Line is a log line of one event.
type Line struct {
	At time.Time
	// Source is the name of the log, such as its file name.
	Source string
	// Prefix is the text that a log collector wrote before the first field.
	Prefix string
	Fields []Field
}

// Get returns the value of a key, or an empty string if the line does not have the key.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Event returns the name of the event.
func (l Line) Event() string { return l.Get("event") }

// Log has the lines of one source, and the number of further lines that are malformed.
type Log struct {
	Lines          []Line
	MalformedLines int
}

// Read reads a log. Lines that are not events are left out; those that look like an event but cannot be parsed are counted
// as malformed. The error is of type *Error and says that the log could not be read to its end.
func Read(source string, r io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		line, ok, malformed := parseLine(source, scanner.Text())
		if ok {
			log.Lines = append(log.Lines, line)
		}
		if malformed {
			log.MalformedLines++
		}
	}
	if err := scanner.Err(); err != nil {
		return log, &Error{Op: "Read", Kind: KindUnreadable, Err: err}
	}
	return log, nil
}

// parseLine parses a line. ok says that it is an event, malformed that it looks like one but cannot be parsed.
func parseLine(source, text string) (line Line, ok, malformed bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false, strings.Contains(text, " event=")
	}
	line = Line{Source: source, Prefix: strings.TrimSpace(text[:start])}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false, true
	}
	for decoder.ScanKeyval() {
		line.Fields = append(line.Fields, Field{string(decoder.Key()), string(decoder.Value())})
	}
	if decoder.Err() != nil {
		return Line{}, false, true
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get("time"))
	if err != nil {
		return Line{}, false, true
	}
	line.At = at
	return line, line.Event() != "", false
}
