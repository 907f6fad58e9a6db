package mangoadmission

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// staticControl is a Control whose state does not change.
type staticControl struct{ snapshot *mangocontrol.Snapshot }

func (c staticControl) Snapshot() *mangocontrol.Snapshot { return c.snapshot }

func (c staticControl) Resolve(_ context.Context, name string) (*mangomessage.Profile, error) {
	return c.snapshot.Book.Resolve(name)
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func customerEntry(revision uint64, name string, digests ...string) *mangomessage.Entry {
	return &mangomessage.Entry{
		ChangeId: name, Revision: revision, Author: "test",
		Content: &mangomessage.Entry_Customer{Customer: &mangomessage.Customer{Name: name, KeyDigests: digests}},
	}
}

// Guards against a key that identifies another customer, against a digest that is accepted as a key, and against digests in
// the book that are malformed or belong to another customer already.
func TestCustomerOfKey(t *testing.T) {
	book, err := mangoprofile.New().With(
		customerEntry(1, "first", digestOf("key-1"), digestOf("key-1b")), customerEntry(2, "second", digestOf("key-2")))
	is.New(t).NoErr(err)
	a := New(staticControl{&mangocontrol.Snapshot{Book: book}}, nil, nil, nil)
	for _, c := range []struct {
		name, key, customer string
	}{
		{"first key", "key-1", "first"},
		{"second key of one customer", "key-1b", "first"},
		{"other customer", "key-2", "second"},
		{"unknown key", "key-3", ""},
		{"digest in place of the key", digestOf("key-1"), ""},
		{"empty key", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			name, err := a.Customer(c.key)
			is.Equal(name, c.customer)
			is.Equal(err == nil, c.customer != "")
		})
	}
	for _, bad := range []string{"", "12", "zz", digestOf("key-1")} {
		is.New(t).True(book.Check(customerEntry(3, "third", bad)) != nil)
	}
}
