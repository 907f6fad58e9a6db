package mangotrace

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds a line; a chain of replicas is some hundred bytes long.
const maxLine = 1 << 20

// Field is one key with its value.
type Field struct{ Key, Value string }

// Line is one event of a log.
type Line struct {
	At     time.Time
	Source string
	// Prefix is what a log collector wrote before the first field.
	Prefix string
	Fields []Field
}

// Get returns the value of a key, or nothing.
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

// Log is the lines of one source with the number of those that cannot be read.
type Log struct {
	Lines   []Line
	MalformedLines int
}

// Read reads a log. Lines without a time or an event are left out; those that begin like an event and cannot be read are
// counted as damaged. The error is that of the reader.
func Read(source string, r io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok, damaged := parse(source, scanner.Text())
		if ok {
			log.Lines = append(log.Lines, line)
		}
		if damaged {
			log.MalformedLines++
		}
	}
	if err := scanner.Err(); err != nil {
		return log, &Error{Op: "Read", Kind: KindUnreadable, Err: err}
	}
	return log, nil
}

// parse reads one line; damaged says that it is a part of an event.
func parse(source, text string) (line Line, ok, damaged bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false, strings.Contains(text, " event=")
	}
	line = Line{Source: source, Prefix: strings.TrimSpace(text[:at])}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return Line{}, false, true
	}
	for decoder.ScanKeyval() {
		line.Fields = append(line.Fields, Field{string(decoder.Key()), string(decoder.Value())})
	}
	if decoder.Err() != nil {
		return Line{}, false, true
	}
	when, err := time.Parse(time.RFC3339Nano, line.Get("time"))
	if err != nil {
		return Line{}, false, true
	}
	line.At = when
	return line, line.Event() != "", false
}
