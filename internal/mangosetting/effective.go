package mangosetting

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Effective returns the settings in force as INI text, with defaults filled in and secrets redacted.
func Effective(settings *mangomessage.Settings) string {
	var b strings.Builder
	message := settings.ProtoReflect()
	sections := message.Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s]\n", s.Name())
		writeSection(&b, message.Get(s).Message())
	}
	return b.String()
}

// writeSection writes the keys of a section and leaves out those with an empty value.
func writeSection(b *strings.Builder, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if text := formatField(f, message.Get(f)); text != "" {
			fmt.Fprintf(b, "%s = %s\n", f.Name(), redactSecret(f, text))
		}
	}
}

// formatField returns the value of a field as a settings file has it, so that Parse reads the same value again.
func formatField(f protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if f.IsList() {
		items := make([]string, value.List().Len())
		for i := range items {
			items[i] = value.List().Get(i).String()
		}
		return strings.Join(items, ",")
	}
	switch ruleOf(f).GetFormat() {
	case mangomessage.Format_Duration:
		return formatDuration(value.Int())
	case mangomessage.Format_Size:
		return formatSize(value.Int())
	case mangomessage.Format_Text, mangomessage.Format_Address, mangomessage.Format_Addresses, mangomessage.Format_Name,
		mangomessage.Format_File, mangomessage.Format_Number, mangomessage.Format_Flag, mangomessage.Format_Choice,
		mangomessage.Format_Ratio:
		return value.String()
	default:
		return value.String()
	}
}

// Redacted returns a copy of settings with secrets redacted.
func Redacted(settings *mangomessage.Settings) *mangomessage.Settings {
	out, _ := proto.Clone(settings).(*mangomessage.Settings)
	message := out.ProtoReflect()
	sections := message.Descriptor().Fields()
	for i := range sections.Len() {
		redactSection(message.Mutable(sections.Get(i)).Message())
	}
	return out
}

func redactSection(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); ruleOf(f).GetSecret() && message.Has(f) {
			message.Set(f, protoreflect.ValueOfString(redactedText))
		}
	}
}
