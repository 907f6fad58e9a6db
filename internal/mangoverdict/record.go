package mangoverdict

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// KeyPrefix is the prefix of the keys of records. It is followed by a hash of the fingerprint, whose length is not bounded.
const KeyPrefix = "mangopath/crash/"

// Key returns the key of the record of a fingerprint.
func Key(fingerprint string) string {
	return KeyPrefix + strconv.FormatUint(xxhash.Sum64String(fingerprint), 16)
}

// encode returns the value of a record.
func encode(r mangocrash.Record) ([]byte, error) {
	m := &mangomessage.CrashRecord{Fingerprint: r.Fingerprint, Wider: r.Wider, Condemned: r.Condemned}
	for _, c := range r.Crashes {
		recorded := &mangomessage.RecordedCrash{Id: c.ID, At: c.At.UnixMilli()}
		if !c.SentAt.IsZero() {
			recorded.Sent = c.SentAt.UnixMilli()
		}
		m.Crashes = append(m.Crashes, recorded)
	}
	data, err := protojson.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "Encode", Kind: KindEncoding, Err: err}
	}
	return data, nil
}

// decode reads the value of a record. Fields that are not known are left out.
func decode(value []byte) (mangocrash.Record, error) {
	var m mangomessage.CrashRecord
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, &m); err != nil {
		return mangocrash.Record{}, &Error{Op: "Decode", Kind: KindEncoding, Err: err}
	}
	if m.GetFingerprint() == "" {
		return mangocrash.Record{}, &Error{Op: "Decode", Kind: KindEncoding, Err: errors.New("the record has no fingerprint")}
	}
	r := mangocrash.Record{Fingerprint: m.GetFingerprint(), Wider: m.GetWider(), Condemned: m.GetCondemned()}
	for _, c := range m.GetCrashes() {
		recorded := mangocrash.RecordedCrash{ID: c.GetId(), At: time.UnixMilli(c.GetAt())}
		if c.GetSent() != 0 {
			recorded.SentAt = time.UnixMilli(c.GetSent())
		}
		r.Crashes = append(r.Crashes, recorded)
	}
	return r, nil
}
