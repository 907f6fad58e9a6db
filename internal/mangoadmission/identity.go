package mangoadmission

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Customer implements mangogateway.Authenticator. Only the digest of the API key is looked up, so that the time of the
// lookup reveals nothing about valid keys.
func (a *Admission) Customer(key string) (string, error) {
	sum := sha256.Sum256([]byte(key))
	customer := a.control.Snapshot().Book.CustomerByDigest(hex.EncodeToString(sum[:]))
	if customer == nil {
		return "", reject(mangocall.KindUnauthorised, errors.New("the API key belongs to no customer"))
	}
	return customer.Name, nil
}

// Fingerprint returns an id of the customer, the profile and the body of a request, so that every entry host recognises a
// request that its caller sends again.
func Fingerprint(r mangogateway.Request, profile *mangomessage.Profile) string {
	sum := sha256.Sum256([]byte(r.Customer + "\x00" + profile.Name + "\x00" + r.BodyDigest))
	return hex.EncodeToString(sum[:16])
}
