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
	// maxKeyBytes bounds customer and idempotency key, in bytes, so that store keys stay short.
	maxKeyBytes = 255
	// maxAnswerBytes is the largest answer that a record holds, in bytes; the store's own limit is 1 MiB.
	maxAnswerBytes = 64 << 10
)

// States of a record and of a StatusReply.
const (
	StateStarted = "Started"
	StateRunning = "Running"
	StateDone    = "Done"
	StateNotRun  = "NotRun"
	StateUnknown = "Unknown"
)

// recordKey returns the store key of a call; the hash in front spreads keys of one customer evenly over prefixes.
func recordKey(customer, key string) string {
	sum := xxhash.Sum64String(customer + "\x00" + key)
	return fmt.Sprintf("%s%016x/%s/%s", recordPrefix, sum, url.PathEscape(customer), url.PathEscape(key))
}

func isValidKey(customer, key, digest string) bool {
	if customer == "" || key == "" || digest == "" || len(customer) > maxKeyBytes || len(key) > maxKeyBytes || len(digest) > maxKeyBytes {
		return false
	}
	return utf8.ValidString(customer + key + digest)
}

func decodeRecord(value []byte) (*mangomessage.Record, error) {
	record := &mangomessage.Record{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}

// setAnswer stores the answer in the record, or only its digest when it is too large or keep is false.
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
