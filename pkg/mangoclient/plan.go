package mangoclient

import (
	"crypto/rand"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Plan returns the changes that lead from the present entries to the wanted ones, for Operators.Propose. Each change has a
// new id and expects the revision of the present entry. Entries that are already as wanted need no change.
func Plan(present *mangomessage.EntryList, wanted []*mangomessage.Entry, author string) []*mangomessage.Change {
	byName := make(map[[2]string]*mangomessage.Entry, len(present.GetEntries()))
	for _, e := range present.GetEntries() {
		byName[[2]string{EntryKind(e), EntryName(e)}] = e
	}
	var changes []*mangomessage.Change
	for _, w := range wanted {
		old := byName[[2]string{EntryKind(w), EntryName(w)}]
		if old != nil && old.GetRemoved() == w.GetRemoved() && sameContent(old, w) {
			continue
		}
		entry := &mangomessage.Entry{
			ChangeId: rand.Text(), Author: author, AtMs: time.Now().UnixMilli(), Removed: w.GetRemoved(),
		}
		entry.Content = w.GetContent()
		changes = append(changes, &mangomessage.Change{ExpectedRevision: old.GetRevision(), Entry: entry})
	}
	return changes
}

// Find returns the entry of a kind and name, even if it is marked as removed, or nil if there is none.
func Find(list *mangomessage.EntryList, kind, name string) *mangomessage.Entry {
	for _, e := range list.GetEntries() {
		if EntryKind(e) == kind && EntryName(e) == name {
			return e
		}
	}
	return nil
}

// EntryKind returns Profile, Alias, Customer or HostMark, or an empty string for an entry without content.
func EntryKind(entry *mangomessage.Entry) string {
	if f := contentField(entry); f != nil {
		return string(f.Name())
	}
	return ""
}

// EntryName returns the name of an entry. That of a host mark is the name of its host.
func EntryName(entry *mangomessage.Entry) string {
	if m, ok := entry.GetContent().(*mangomessage.Entry_HostMark); ok {
		return m.HostMark.GetHost()
	}
	f := contentField(entry)
	if f == nil {
		return ""
	}
	content := entry.ProtoReflect().Get(f).Message()
	return content.Get(content.Descriptor().Fields().ByName("Name")).String()
}

// Content returns the profile, alias, customer or host mark in an entry, or nil if there is none.
func Content(entry *mangomessage.Entry) proto.Message {
	if f := contentField(entry); f != nil {
		return entry.ProtoReflect().Get(f).Message().Interface()
	}
	return nil
}

// contentField returns the field that holds the content of an entry, or nil if none is set.
func contentField(entry *mangomessage.Entry) protoreflect.FieldDescriptor {
	message := entry.ProtoReflect()
	return message.WhichOneof(message.Descriptor().Oneofs().ByName("Content"))
}

func sameContent(a, b *mangomessage.Entry) bool { return proto.Equal(Content(a), Content(b)) }
