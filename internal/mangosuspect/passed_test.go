package mangosuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that is condemned because two hosts died under it at different points, and against a request
// that is never condemned because it gets a little further each time.
func TestPassed(t *testing.T) {
	is := is.New(t)
	s, now := New("a"), time.Unix(1000, 0)
	for i := range 6 {
		s.Report(NewCrashID(fmt.Sprint("host", i)), []string{"p"}, now)
		now = now.Add(time.Minute / 2)
		verdict := s.Check("p", now)
		if i < 4 {
			is.Equal(verdict, Suspect)
		}
		if i == 4 {
			is.Equal(verdict, Blocked)
		}
		s.Passed("p", now)
	}
}
