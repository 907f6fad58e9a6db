package mangoprofile

import (
	"encoding/hex"
	stderrors "errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Bounds on entries. An entry has to leave room in the head, which is one value of at most 1 MiB with its tail.
const (
	MaxNameBytes   = 128
	MaxEntryBytes  = 64 << 10
	MaxKeyDigests     = 64
	MaxListItems        = 4096
	MaxLayers      = 4096
	MaxDeadlineMs  = 24 * 60 * 60 * 1000
	MaxTokens      = 1 << 20
	MaxWeight      = 1_000_000
	MaxAuthorBytes = 256
)

const nameCharacters = "letters, digits and . _ - :, at most 128 bytes"

// Validate checks the content of an entry by itself. The error is KindInvalid and has one line for each fault with
// the field, the value and what is allowed.
func Validate(entry *mangomessage.Entry) error {
	f := &faults{}
	f.content(entry)
	return f.err("Validate")
}

// Check validates an entry and its references to other entries of the book.
func (b *Book) Check(entry *mangomessage.Entry) error {
	f := &faults{}
	f.content(entry)
	if entry.GetRemoved() {
		b.checkRemoval(f, entry)
	} else {
		b.checkReferences(f, entry)
	}
	return f.err("Check")
}

func (b *Book) checkReferences(f *faults, entry *mangomessage.Entry) {
	switch c := entry.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		if b.Alias(c.Profile.GetName()) != nil {
			f.add("Profile.Name", c.Profile.GetName(), "a name that is not an alias")
		}
	case *mangomessage.Entry_Alias:
		if b.Profile(c.Alias.GetName()) != nil {
			f.add("Alias.Name", c.Alias.GetName(), "a name that is not a profile")
		}
		if b.Profile(c.Alias.GetTarget()) == nil {
			f.add("Alias.Target", c.Alias.GetTarget(), "the name of an existing profile")
		}
	case *mangomessage.Entry_Customer:
		for _, d := range c.Customer.GetKeyDigests() {
			if other := b.CustomerByDigest(d); other != nil && other.GetName() != c.Customer.GetName() {
				f.add("Customer.KeyDigests", d, fmt.Sprintf("a digest that customer %q does not have", other.GetName()))
			}
		}
	}
}

func (b *Book) checkRemoval(f *faults, entry *mangomessage.Entry) {
	if EntryKind(entry) != EntryProfile {
		return
	}
	for _, e := range b.Entries(EntryAlias) {
		if e.GetAlias().GetTarget() == EntryName(entry) {
			f.add("Profile.Name", EntryName(entry), fmt.Sprintf("a profile without aliases; alias %q points to it",
				e.GetAlias().GetName()))
		}
	}
}

type faults struct{ list []error }

func (f *faults) add(field string, value any, allowed string) {
	f.list = append(f.list, fmt.Errorf("%s = %q: allowed is %s", field, fmt.Sprint(value), allowed))
}

func (f *faults) err(op string) error {
	if len(f.list) == 0 {
		return nil
	}
	return &Error{Op: op, Kind: KindInvalid, Err: stderrors.Join(f.list...)}
}

func (f *faults) content(entry *mangomessage.Entry) {
	if size := proto.Size(entry); size > MaxEntryBytes {
		f.add("Entry", fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d bytes", MaxEntryBytes))
	}
	if len(entry.GetAuthor()) > MaxAuthorBytes {
		f.add("Entry.Author", fmt.Sprintf("%d bytes", len(entry.GetAuthor())), fmt.Sprintf("at most %d bytes", MaxAuthorBytes))
	}
	if id := entry.GetChangeId(); id != "" && !validName(id) {
		f.add("Entry.ChangeId", id, nameCharacters)
	}
	switch c := entry.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		f.name("Profile.Name", c.Profile.GetName())
		if !entry.GetRemoved() {
			f.profile(c.Profile)
		}
	case *mangomessage.Entry_Alias:
		f.name("Alias.Name", c.Alias.GetName())
		if !entry.GetRemoved() {
			f.name("Alias.Target", c.Alias.GetTarget())
		}
	case *mangomessage.Entry_Customer:
		f.name("Customer.Name", c.Customer.GetName())
		f.customer(c.Customer)
	case *mangomessage.Entry_HostMark:
		f.name("HostMark.Host", c.HostMark.GetHost())
	default:
		f.add("Entry.Content", "", "one of Profile, Alias, Customer, HostMark")
	}
}

func (f *faults) profile(p *mangomessage.Profile) {
	switch p.GetKind() {
	case "completion":
		f.name("Profile.Model", p.GetModel())
		f.name("Profile.Version", p.GetVersion())
		f.within("Profile.Layers", p.GetLayers(), 1, MaxLayers)
		if p.GetNonIdempotent() {
			f.add("Profile.NonIdempotent", true, "false for Kind completion")
		}
	case "service":
	default:
		f.add("Profile.Kind", p.GetKind(), "completion or service")
	}
	f.within("Profile.Weight", p.GetWeight(), 0, MaxWeight)
	f.within("Profile.DeadlineMs", p.GetDeadlineMs(), 0, MaxDeadlineMs)
	f.within("Profile.MaxTokens", p.GetMaxTokens(), 0, MaxTokens)
	f.names("Profile.Adapters", p.GetAdapters())
	f.places(p.GetPlaces())
	f.stages(p)
}

func (f *faults) places(places []*mangomessage.Place) {
	if len(places) == 0 {
		f.add("Profile.Places", "", "at least one place")
	}
	seen := map[string]bool{}
	for _, p := range places {
		f.name("Place.DataCentre", p.GetDataCentre())
		if seen[p.GetDataCentre()] {
			f.add("Place.DataCentre", p.GetDataCentre(), "each data centre once")
		}
		seen[p.GetDataCentre()] = true
		f.names("Place.Hosts", p.GetHosts())
	}
}

func (f *faults) stages(p *mangomessage.Profile) {
	stages := p.GetStages()
	if len(stages) == 0 {
		return
	}
	const allowed = "rising layer boundaries from 0 to Layers"
	if len(stages) < 2 || stages[0] != 0 || stages[len(stages)-1] != p.GetLayers() {
		f.add("Profile.Stages", stages, allowed)
		return
	}
	for i := 1; i < len(stages); i++ {
		if stages[i] <= stages[i-1] {
			f.add("Profile.Stages", stages, allowed)
			return
		}
	}
}

func (f *faults) customer(c *mangomessage.Customer) {
	f.within("Customer.Weight", c.GetWeight(), 0, MaxWeight)
	f.names("Customer.Profiles", c.GetProfiles())
	if len(c.GetKeyDigests()) > MaxKeyDigests {
		f.add("Customer.KeyDigests", fmt.Sprintf("%d digests", len(c.GetKeyDigests())), fmt.Sprintf("at most %d", MaxKeyDigests))
	}
	for _, d := range c.GetKeyDigests() {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != 32 || strings.ToLower(d) != d {
			f.add("Customer.KeyDigests", d, "a SHA-256 digest as 64 lower-case hexadecimal digits")
		}
	}
}

func (f *faults) within(field string, value, low, high uint32) {
	if value < low || value > high {
		f.add(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (f *faults) names(field string, names []string) {
	if len(names) > MaxListItems {
		f.add(field, fmt.Sprintf("%d items", len(names)), fmt.Sprintf("at most %d items", MaxListItems))
		return
	}
	for _, n := range names {
		f.name(field, n)
	}
}

func (f *faults) name(field, value string) {
	if !validName(value) {
		f.add(field, value, nameCharacters)
	}
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-:", r) {
			return false
		}
	}
	return true
}
