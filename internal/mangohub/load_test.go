package mangohub

import (
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against a part of a load that does not reach the other daemons.
func TestLoadsKeepAllParts(t *testing.T) {
	loads := map[string]mangoreplica.Load{"a": {Requests: 5, Tokens: 700, Later: 3}, "b": {Demand: 2}}
	is.New(t).Equal(DecodeLoads(EncodeLoads(loads)), loads)
}
