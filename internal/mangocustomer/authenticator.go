package mangocustomer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Authenticator finds the customer of a bearer key. It is immutable.
type Authenticator struct {
	// keys are found by the first 8 bytes of their digest; the whole digest is compared in constant time.
	keys map[uint64][]credential
}

type credential struct {
	digest   [sha256.Size]byte
	customer *mangomessage.Customer
}

// NewAuthenticator returns an authenticator for customers; it fails on a malformed digest and on one that two
// customers share, since it would not identify either.
func NewAuthenticator(customers []*mangomessage.Customer) (*Authenticator, error) {
	a := &Authenticator{keys: make(map[uint64][]credential, len(customers))}
	for _, c := range customers {
		for _, text := range c.GetKeyDigests() {
			if err := a.add(c, text); err != nil {
				return nil, err
			}
		}
	}
	return a, nil
}

func (a *Authenticator) add(c *mangomessage.Customer, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("customer %s: key digest %q is not a SHA-256 digest in hexadecimal", c.GetName(), text)
	}
	digest := [sha256.Size]byte(raw)
	if other := a.find(digest); other != nil && other.GetName() != c.GetName() {
		return fmt.Errorf("customers %s and %s have the same key digest", other.GetName(), c.GetName())
	}
	index := binary.BigEndian.Uint64(raw)
	a.keys[index] = append(a.keys[index], credential{digest: digest, customer: c})
	return nil
}

// Authenticate returns the customer of the value of an Authorization header.
func (a *Authenticator) Authenticate(authorization string) (*mangomessage.Customer, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, false
	}
	c := a.find(sha256.Sum256([]byte(key)))
	return c, c != nil
}

func (a *Authenticator) find(digest [sha256.Size]byte) *mangomessage.Customer {
	var found *mangomessage.Customer
	for _, c := range a.keys[binary.BigEndian.Uint64(digest[:])] {
		if subtle.ConstantTimeCompare(c.digest[:], digest[:]) == 1 {
			found = c.customer
		}
	}
	return found
}

// Allowed reports whether the customer may call a profile by a name.
func Allowed(c *mangomessage.Customer, name string) bool {
	return len(c.GetProfiles()) == 0 || slices.Contains(c.GetProfiles(), name)
}
