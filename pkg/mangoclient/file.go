package mangoclient

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// ParseProfiles parses a profiles file, which is JSON; name stands for the file in errors. Unknown fields are errors that
// state their path, and a name may occur only once within its kind. The entries are in the order profiles, aliases,
// customers, host marks. The error is an *Error of KindInvalid. It lists all unknown fields, or else the first wrong value,
// or else all faults of names.
func ParseProfiles(name string, data []byte) ([]*mangomessage.Entry, error) {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, invalidFileError(name, err.Error())
	}
	var file mangomessage.ProfilesFile
	if unknown := unknownFields("", file.ProtoReflect().Descriptor(), tree); len(unknown) > 0 {
		return nil, invalidFileError(name, unknown...)
	}
	if err := protojson.Unmarshal(data, &file); err != nil {
		return nil, invalidFileError(name, err.Error())
	}
	entries := FileEntries(&file)
	if faults := entryNameFaults(entries); len(faults) > 0 {
		return nil, invalidFileError(name, faults...)
	}
	return entries, nil
}

// FileEntries returns the entries of a profiles file, in the order of ParseProfiles.
func FileEntries(file *mangomessage.ProfilesFile) []*mangomessage.Entry {
	var entries []*mangomessage.Entry
	for _, p := range file.GetProfiles() {
		entries = append(entries, &mangomessage.Entry{Content: &mangomessage.Entry_Profile{Profile: p}})
	}
	for _, a := range file.GetAliases() {
		entries = append(entries, &mangomessage.Entry{Content: &mangomessage.Entry_Alias{Alias: a}})
	}
	for _, c := range file.GetCustomers() {
		entries = append(entries, &mangomessage.Entry{Content: &mangomessage.Entry_Customer{Customer: c}})
	}
	for _, m := range file.GetHostMarks() {
		entries = append(entries, &mangomessage.Entry{Content: &mangomessage.Entry_HostMark{HostMark: m}})
	}
	return entries
}

// invalidFileError returns an error with one line for each fault.
func invalidFileError(name string, faults ...string) error {
	for i, f := range faults {
		faults[i] = name + ": " + f
	}
	return &Error{Op: "ParseProfiles", Kind: KindInvalid, Err: errors.New(strings.Join(faults, "\n"))}
}

// entryNameFaults returns a fault for each entry without a name and each repeated name.
func entryNameFaults(entries []*mangomessage.Entry) []string {
	var faults []string
	seen := make(map[string]bool)
	for _, e := range entries {
		kind, name := EntryKind(e), EntryName(e)
		if name == "" {
			faults = append(faults, fmt.Sprintf("a %s has no name", kind))
			continue
		}
		if seen[kind+" "+name] {
			faults = append(faults, fmt.Sprintf("%s %q is given twice; allowed: each name once for its kind", kind, name))
		}
		seen[kind+" "+name] = true
	}
	return faults
}

// unknownFields returns a fault for each field of the parsed JSON in tree that the message type does not have. path is the
// prefix of the names of the fields.
func unknownFields(path string, message protoreflect.MessageDescriptor, tree any) []string {
	object, ok := tree.(map[string]any)
	if !ok {
		return nil // protojson reports wrong types with their position
	}
	var faults []string
	for _, key := range sortedKeys(object) {
		field := message.Fields().ByJSONName(key)
		if field == nil {
			faults = append(faults, fmt.Sprintf("unknown field %s; allowed: %s", path+key, fieldNames(message)))
			continue
		}
		if field.Message() == nil {
			continue
		}
		list, isList := object[key].([]any)
		if !isList {
			faults = append(faults, unknownFields(path+key+".", field.Message(), object[key])...)
		}
		for i, item := range list {
			faults = append(faults, unknownFields(fmt.Sprintf("%s%s[%d].", path, key, i), field.Message(), item)...)
		}
	}
	return faults
}

func sortedKeys(object map[string]any) []string {
	var keys []string
	for k := range object {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func fieldNames(message protoreflect.MessageDescriptor) string {
	var names []string
	for i := range message.Fields().Len() {
		names = append(names, string(message.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}
