package mangorecovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against replacements that are passed over for good because of repairs long ago.
func TestRecentForgets(t *testing.T) {
	is := is.New(t)
	r, now := NewRecent(), time.Unix(0, 0)
	r.Add("a", now)
	r.Add("a", now.Add(prefillTime/2))
	is.Equal(r.Count("a", now.Add(prefillTime)), 2.0)
	is.Equal(r.Count("a", now.Add(prefillTime+1)), 1.0)
	is.Equal(r.Count("a", now.Add(2*prefillTime)), 0.0)
	is.Equal(r.Count("b", now), 0.0)
}
