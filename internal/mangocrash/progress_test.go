package mangocrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against blocking a call that was in flight in two crashes at different points of its run, and against never
// blocking a request that gets a little further before each crash.
func TestProgressClearsLimitedTimes(t *testing.T) {
	is := is.New(t)
	tracker, now := New("a"), time.Unix(1000, 0)
	for i := range 6 {
		tracker.Report(NewCrashID(fmt.Sprint("host", i)), []string{"p"}, now)
		now = now.Add(time.Minute / 2)
		verdict := tracker.Check("p", now)
		if i < 4 {
			is.Equal(verdict, Suspect)
		}
		if i == 4 {
			is.Equal(verdict, Blocked)
		}
		tracker.ReportProgress("p", now)
	}
}
