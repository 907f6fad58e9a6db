package mangosetting

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// scanFile parses the text of a settings file as INI. Malformed lines are reported by number and kept from the INI library,
// which would stop at the first one. It returns false if the file as a whole can't be parsed.
func (c *checker) scanFile(data []byte) (*ini.File, bool) {
	if len(data) > MaxFileSize {
		c.report("", "", "", fmt.Sprintf("the file is too large: %d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileSize))
		return nil, false
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		c.report("", "", "", "the file is not text", "UTF-8 without NUL bytes")
		return nil, false
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		PreserveSurroundedQuote:    true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00",
	}, c.filterLines(data))
	if err != nil {
		c.report("", "", "", err.Error(), "lines of the form [Section] or Key = Value")
		return nil, false
	}
	return file, true
}

// filterLines returns the lines that are blank, comments, sections or keys, and reports the others as malformed.
func (c *checker) filterLines(data []byte) []byte {
	var out bytes.Buffer
	section := ""
	for i, line := range strings.Split(strings.TrimPrefix(string(data), "\ufeff"), "\n") {
		line = strings.TrimSpace(line)
		switch problem := lineProblem(line); {
		case problem != "":
			c.report(section, "", "", fmt.Sprintf("line %d is malformed: %s", i+1, problem), "[Section], Key = Value or a comment that begins with # or ;")
		case strings.HasPrefix(line, "["):
			section = strings.TrimSpace(line[1 : len(line)-1])
			fmt.Fprintf(&out, "[%s]\n", section)
		default:
			out.WriteString(line + "\n")
		}
	}
	return out.Bytes()
}

// lineProblem returns what is wrong with a trimmed line, or an empty string. It never quotes the line, which may contain a
// secret.
func lineProblem(line string) string {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return ""
	}
	if line[0] == '[' {
		if !strings.HasSuffix(line, "]") || strings.TrimSpace(strings.Trim(line, "[]")) == "" {
			return "a section name is needed between [ and ]"
		}
		return ""
	}
	key, value, found := strings.Cut(line, "=")
	if !found {
		return "there is no ="
	}
	if strings.TrimSpace(key) == "" {
		return "there is no key before ="
	}
	if strings.ContainsAny(key, "\"`") {
		return "keys are not quoted"
	}
	if v := strings.TrimSpace(value); strings.HasPrefix(v, "`") || strings.HasPrefix(v, `"""`) {
		return "values are not quoted"
	}
	return ""
}
