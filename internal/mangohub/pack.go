package mangohub

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minPackedBytes is the size from which a value is compressed for followers. A configuration has some ten kilobytes, and a
	// hub on a slow link sends it to all its followers.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds a value that a follower unpacks; the store accepts a megabyte.
	maxUnpackedBytes = 4 << 20
)

// packedValue is the compressed form of a value, which is made when it is first needed and then shared by all streams.
type packedValue struct {
	once sync.Once
	data []byte
}

// packed returns the compressed form of the value, or nil if the value is sent as it is.
func (i Item) packed() []byte {
	if i.pack == nil {
		return nil
	}
	i.pack.once.Do(func() {
		if i.pack.data == nil {
			i.pack.data = deflate(i.Value)
		}
	})
	return i.pack.data
}

// withPack returns the item with a place for the compressed form of its value, if that is worth it.
func (i Item) withPack() Item {
	if i.pack == nil && len(i.Value) >= minPackedBytes {
		i.pack = &packedValue{}
	}
	return i
}

// deflate compresses data; it returns nil if that is not possible.
func deflate(data []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(data); err != nil || w.Close() != nil {
		return nil
	}
	return b.Bytes()
}

// inflate is the inverse of deflate, for at most maxUnpackedBytes.
func inflate(data []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, &Error{Op: "Inflate", Kind: KindItem, Err: err}
	case len(value) > maxUnpackedBytes:
		return nil, &Error{Op: "Inflate", Kind: KindItem, Err: errors.Errorf("a value of more than %d bytes", maxUnpackedBytes)}
	}
	return value, nil
}
