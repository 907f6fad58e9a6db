package mangosetting

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// redactedText replaces a secret wherever settings are shown.
const redactedText = "REDACTED"

// fillSettings sets the fields of settings from the file, or to their defaults, and reports what the schema does not allow.
func (c *checker) fillSettings(settings protoreflect.Message, file *ini.File) {
	sections := settings.Descriptor().Fields()
	c.reportUnknownSections(file, sections)
	for i := range sections.Len() {
		s := sections.Get(i)
		message := settings.Mutable(s).Message()
		found, err := file.GetSection(string(s.Name()))
		if err != nil {
			c.reportMissingSection(s)
			found = ini.Empty().Section("")
		}
		c.fillSection(message, string(s.Name()), found, err == nil)
	}
}

func (c *checker) reportUnknownSections(file *ini.File, known protoreflect.FieldDescriptors) {
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if s.Name() == ini.DefaultSection {
			c.report("", s.Keys()[0].Name(), "", "key before the first section", "keys below a [Section]")
			continue
		}
		if known.ByName(protoreflect.Name(s.Name())) == nil {
			c.report(s.Name(), "", "", "unknown section", suggestion(s.Name(), known))
		}
	}
}

// reportMissingSection reports a missing section that has required keys once, instead of each missing key.
func (c *checker) reportMissingSection(section protoreflect.FieldDescriptor) {
	var required []string
	fields := section.Message().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); ruleOf(f).GetRequired() {
			required = append(required, string(f.Name()))
		}
	}
	if len(required) > 0 {
		c.report(string(section.Name()), "", "", "missing section", "a section with the keys "+strings.Join(required, ", "))
	}
}

// fillSection sets the fields of a section. present is false if the file lacks the section; its missing keys are then not
// reported.
func (c *checker) fillSection(message protoreflect.Message, section string, found *ini.Section, present bool) {
	fields := message.Descriptor().Fields()
	for _, k := range found.Keys() {
		if fields.ByName(protoreflect.Name(k.Name())) == nil {
			c.report(section, k.Name(), "", "unknown key", suggestion(k.Name(), fields))
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		text, given := c.fieldText(section, f, found)
		rule := ruleOf(f)
		if text == "" && rule.GetRequired() {
			if present {
				c.report(section, string(f.Name()), "", "missing key", allowedBy(f))
			}
			continue
		}
		if !given {
			text = rule.GetDefault()
		}
		c.setField(message, section, f, text)
	}
}

// fieldText returns the text of a key and whether the file has the key. It reports a key that is given more than once.
func (c *checker) fieldText(section string, f protoreflect.FieldDescriptor, found *ini.Section) (string, bool) {
	name := string(f.Name())
	if !found.HasKey(name) {
		return "", false
	}
	values := found.Key(name).ValueWithShadows()
	if len(values) > 1 {
		c.report(section, name, redactSecret(f, strings.Join(values, " | ")), "duplicate key", "each key once")
	}
	if len(values) == 0 {
		return "", true
	}
	return values[0], true
}

func (c *checker) setField(message protoreflect.Message, section string, f protoreflect.FieldDescriptor, text string) {
	if text == "" && (f.IsList() || f.Kind() == protoreflect.StringKind) {
		return
	}
	if f.IsList() {
		list := message.Mutable(f).List()
		for _, part := range strings.Split(text, ",") {
			c.appendItem(list, section, f, strings.TrimSpace(part))
		}
		return
	}
	value, problem := parseValue(f, text)
	if problem != "" {
		c.report(section, string(f.Name()), redactSecret(f, text), problem, allowedBy(f))
		return
	}
	message.Set(f, value)
}

func (c *checker) appendItem(list protoreflect.List, section string, f protoreflect.FieldDescriptor, item string) {
	value, problem := parseValue(f, item)
	if item == "" {
		problem = "empty item in a list"
	}
	for i := range list.Len() {
		if problem == "" && list.Get(i).String() == value.String() {
			problem = "duplicate item in a list"
		}
	}
	if problem != "" {
		c.report(section, string(f.Name()), redactSecret(f, item), problem, allowedBy(f))
		return
	}
	list.Append(value)
}

// ruleOf returns the rule of a field, or nil if it has none.
func ruleOf(f protoreflect.FieldDescriptor) *mangomessage.Rule {
	rule, _ := proto.GetExtension(f.Options(), mangomessage.E_Setting).(*mangomessage.Rule)
	return rule
}

// redactSecret returns the text of a field as it may be shown.
func redactSecret(f protoreflect.FieldDescriptor, text string) string {
	if ruleOf(f).GetSecret() && text != "" {
		return redactedText
	}
	return text
}

// suggestion lists the known names and adds the one closest to name if it is at an edit distance of at most half its length.
func suggestion(name string, known protoreflect.FieldDescriptors) string {
	var names []string
	closest, best := "", len(name)/2+1
	for i := range known.Len() {
		k := string(known.Get(i).Name())
		names = append(names, k)
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < best {
			closest, best = k, d
		}
	}
	all := strings.Join(names, ", ")
	if closest == "" {
		return all
	}
	return fmt.Sprintf("%s (did you mean %s?)", all, closest)
}

// editDistance returns the Levenshtein distance of two strings in bytes, with one row of the table kept at a time.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
