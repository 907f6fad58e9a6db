package mangoledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	recordPrefix = "Mangopath/Calls/"
	// maxKeyBytes bounds the customer, the idempotency key and the digest, so that store keys stay short.
	maxKeyBytes = 255
	// maxAnswerBytes is the size of the largest answer that a record holds. The store's own limit is 1 MiB.
	maxAnswerBytes = 64 << 10
)

// States of a record (Started, Done, NotRun) and of a StatusReply (Running, Done, NotRun, Unknown).
const (
	StateStarted = "Started"
	StateRunning = "Running"
	StateDone    = "Done"
	StateNotRun  = "NotRun"
	StateUnknown = "Unknown"
)

// recordKey returns the store key of a call. The leading hash spreads the keys of one customer evenly over prefixes.
func recordKey(customer, key string) string {
	sum := xxhash.Sum64String(customer + "\x00" + key)
	return fmt.Sprintf("%s%016x/%s/%s", recordPrefix, sum, url.PathEscape(customer), url.PathEscape(key))
}

// isValidKey reports whether the customer, key and digest can be stored in a record.
func isValidKey(customer, key, digest string) bool {
	if customer == "" || key == "" || digest == "" ||
		len(customer) > maxKeyBytes || len(key) > maxKeyBytes || len(digest) > maxKeyBytes {
		return false
	}
	return utf8.ValidString(customer + key + digest)
}

// decodeRecord decodes the value of a store item.
func decodeRecord(value []byte) (*mangomessage.Record, error) {
	record := &mangomessage.Record{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}

// setAnswer makes the record a Done record with the answer, or with the digest of an answer that is too large or if keep
// is false.
func setAnswer(record *mangomessage.Record, status int, contentType string, answer []byte, keep bool) {
	record.State = StateDone
	record.AnswerStatus = int32(status)
	record.AnswerType = strings.ToValidUTF8(contentType, "")
	if keep && len(answer) <= maxAnswerBytes {
		record.Answer = answer
		return
	}
	sum := sha256.Sum256(answer)
	record.AnswerDigest = hex.EncodeToString(sum[:])
}
