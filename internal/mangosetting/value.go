package mangosetting

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxTextLength bounds the value of a text setting, in bytes.
const maxTextLength = 4096

// sizeUnits returns the units of sizes, the largest first, so that formatSize finds the largest one that divides a size
// and parseSize matches KiB before B.
func sizeUnits() []unit {
	return []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
}

// durationUnits returns the units of durations with fractions; ms stands before s, which it ends with.
func durationUnits() []unit {
	return []unit{{"ms", 1}, {"s", 1000}, {"m", 60 * 1000}, {"h", 60 * 60 * 1000}}
}

// unit is a unit of a size or a duration, in its smallest unit: bytes or milliseconds.
type unit struct {
	name     string
	smallest int64
}

// parseValue parses the text of a field, or of one item of a list, by the format of its rule. It also returns what is wrong
// with the text; an empty string means that it is valid.
func parseValue(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, string) {
	rule := ruleOf(f)
	switch rule.GetFormat() {
	case mangomessage.Format_Duration:
		return parseInRange(rule, text, durationParser(rule))
	case mangomessage.Format_Size:
		return parseInRange(rule, text, sizeParser(rule))
	case mangomessage.Format_Number:
		return parseInRange(rule, text, parseNumber)
	case mangomessage.Format_Ratio:
		return parseRatio(rule, text)
	case mangomessage.Format_Flag:
		return protoreflect.ValueOfBool(text == "true"), problemIf(text != "true" && text != "false", "not a flag")
	case mangomessage.Format_Address, mangomessage.Format_Addresses:
		return protoreflect.ValueOfString(text), addressProblem(text)
	case mangomessage.Format_Name:
		return protoreflect.ValueOfString(text), problemIf(!isName(text), "not a name")
	case mangomessage.Format_File:
		return protoreflect.ValueOfString(text), fileProblem(text)
	case mangomessage.Format_Choice:
		return protoreflect.ValueOfString(text), problemIf(!slices.Contains(rule.GetAllowed(), text), "unknown value")
	case mangomessage.Format_Text:
		return protoreflect.ValueOfString(text), textProblem(text)
	default:
		return protoreflect.Value{}, "the schema has no format for the key"
	}
}

// problemIf returns problem if wrong is true, else an empty string.
func problemIf(wrong bool, problem string) string {
	if wrong {
		return problem
	}
	return ""
}

// parseInRange parses a number with parse and checks it against the range of the rule.
func parseInRange(rule *mangomessage.Rule, text string, parse func(string) (int64, string)) (protoreflect.Value, string) {
	n, problem := parse(text)
	if problem == "" && (n < rule.GetMin() || n > rule.GetMax()) {
		problem = "out of range"
	}
	return protoreflect.ValueOfInt64(n), problem
}

// parseRatio parses a decimal number and checks it against the range of the rule.
func parseRatio(rule *mangomessage.Rule, text string) (protoreflect.Value, string) {
	n, err := strconv.ParseFloat(text, 64)
	problem := problemIf(err != nil, "not a number")
	// Every comparison with NaN is false, so the negated one makes NaN out of range.
	if problem == "" && !(n >= float64(rule.GetMin()) && n <= float64(rule.GetMax())) {
		problem = "out of range"
	}
	return protoreflect.ValueOfFloat64(n), problem
}

// durationParser returns the parser of durations that a rule asks for.
func durationParser(rule *mangomessage.Rule) func(string) (int64, string) {
	if rule.GetFraction() {
		return func(text string) (int64, string) {
			return parseFraction(text, durationUnits(), "not a duration with a unit")
		}
	}
	return parseDuration
}

// sizeParser returns the parser of sizes that a rule asks for.
func sizeParser(rule *mangomessage.Rule) func(string) (int64, string) {
	if rule.GetFraction() {
		return func(text string) (int64, string) { return parseFraction(text, sizeUnits(), "not a size with a unit") }
	}
	return parseSize
}

// parseFraction returns the number before a unit, which may have a fraction or an exponent, in the smallest unit. A rest
// below the smallest unit is dropped. malformed describes a text without a number and a unit.
func parseFraction(text string, units []unit, malformed string) (int64, string) {
	for _, u := range units {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil {
			return 0, malformed
		}
		n *= float64(u.smallest)
		// Every comparison with NaN is false, so the negated one makes NaN out of range.
		if !(n >= 0 && n < 1<<62) {
			return 0, "out of range"
		}
		return int64(n), ""
	}
	return 0, malformed
}

// parseDuration returns a duration in milliseconds.
func parseDuration(text string) (int64, string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, "not a duration with a unit"
	}
	return d.Milliseconds(), problemIf(d%time.Millisecond != 0, "not a whole number of milliseconds")
}

// parseSize returns a size in bytes.
func parseSize(text string) (int64, string) {
	for _, u := range sizeUnits() {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			return 0, "not a size with a unit"
		}
		if n < 0 || n > (1<<62)/u.smallest {
			return 0, "out of range"
		}
		return n * u.smallest, ""
	}
	return 0, "not a size with a unit"
}

func parseNumber(text string) (int64, string) {
	n, err := strconv.ParseInt(text, 10, 64)
	return n, problemIf(err != nil, "not a whole number")
}

func addressProblem(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "not an IP address and port"
	}
	return problemIf(address.Port() == 0, "port 0 is not allowed")
}

// isName reports whether text is a DNS label in lower case.
func isName(text string) bool {
	return regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`).MatchString(text)
}

// fileProblem returns why a file can't be read. It opens the file, because the mode alone does not tell whether this process
// may read it.
func fileProblem(path string) string {
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() {
		return "not a regular file"
	}
	file, err := os.Open(path)
	if err != nil {
		return "the file cannot be read"
	}
	_ = file.Close()
	return ""
}

func textProblem(text string) string {
	if len(text) > maxTextLength {
		return "too long"
	}
	return problemIf(strings.ContainsFunc(text, unicode.IsControl), "control character in text")
}

// allowedBy describes the values that a field accepts.
func allowedBy(f protoreflect.FieldDescriptor) string {
	rule := ruleOf(f)
	switch rule.GetFormat() {
	case mangomessage.Format_Duration:
		return fmt.Sprintf("a duration from %s to %s, such as 250ms, 3s or 1h", formatDuration(rule.GetMin()), formatDuration(rule.GetMax()))
	case mangomessage.Format_Size:
		return fmt.Sprintf("a size from %s to %s in B, KiB, MiB or GiB", formatSize(rule.GetMin()), formatSize(rule.GetMax()))
	case mangomessage.Format_Number:
		return fmt.Sprintf("a whole number from %d to %d", rule.GetMin(), rule.GetMax())
	case mangomessage.Format_Ratio:
		return fmt.Sprintf("a number from %d to %d", rule.GetMin(), rule.GetMax())
	case mangomessage.Format_Flag:
		return "true or false"
	case mangomessage.Format_Address:
		return "an IP address and port, such as 127.0.0.1:7000 or [::1]:7000"
	case mangomessage.Format_Addresses:
		return "different IP addresses and ports, comma-separated, such as 127.0.0.1:7000,127.0.0.1:7001"
	case mangomessage.Format_Name:
		return "1 to 63 lower-case letters, digits and inner dashes"
	case mangomessage.Format_File:
		return "the path of a readable file"
	case mangomessage.Format_Choice:
		return strings.Join(rule.GetAllowed(), ", ")
	case mangomessage.Format_Text:
		return allowedText(f)
	default:
		return ""
	}
}

func allowedText(f protoreflect.FieldDescriptor) string {
	if f.IsList() {
		return "different words, comma-separated"
	}
	return fmt.Sprintf("text of 1 to %d bytes without control characters", maxTextLength)
}

// formatDuration formats a duration in milliseconds without trailing zero units: 1h instead of 1h0m0s.
func formatDuration(ms int64) string {
	text := (time.Duration(ms) * time.Millisecond).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// formatSize formats a size in bytes with the largest unit that divides it.
func formatSize(bytes int64) string {
	for _, u := range sizeUnits() {
		if bytes%u.smallest == 0 && bytes >= u.smallest {
			return fmt.Sprintf("%d%s", bytes/u.smallest, u.name)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}
