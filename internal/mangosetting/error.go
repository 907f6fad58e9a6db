package mangosetting

import (
	"fmt"
	"strings"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindRead means that the file could not be read.
	KindRead Kind = iota + 1
	// KindInvalid means that the settings break a rule.
	KindInvalid
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindRead:
		return "Read"
	case KindInvalid:
		return "Invalid"
	default:
		return fmt.Sprintf("Kind(%d)", int(k))
	}
}

// Fault is one violation of the rules of a settings file.
type Fault struct {
	File    string
	Section string
	// Key is empty for a fault of a whole section.
	Key string
	// Value is the text that was given: redacted for a secret, empty if there was none.
	Value string
	// Problem says which rule is broken.
	Problem string
	// Allowed says what the file may have instead.
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:", f.File)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, " = %q", f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Faults has all faults of the file: malformed lines, unknown sections, the faults of sections and keys in the order of
	// the schema, and last those that concern several settings.
	Faults []Fault
	Err    error
}

// Error implements error. Each fault is on a line of its own.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("mangosetting: %s: %s", e.Op, e.Kind)}
	if e.Err != nil {
		lines[0] += ": " + e.Err.Error()
	}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
