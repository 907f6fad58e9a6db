package mangohost_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangohost"
)

// Guards against a replica that is avoided for good because its link was slow once.
func TestOldStepTimesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := mangohost.NewMeter()
		is.Equal(m.StepTime("a"), time.Duration(0))
		m.AddStepTime("a", time.Second)
		is.Equal(m.StepTime("a"), time.Second)
		time.Sleep(11 * time.Second)
		is.Equal(m.StepTime("a"), time.Duration(0))
		m.AddStepTime("a", 5*time.Millisecond)
		is.Equal(m.StepTime("a"), 5*time.Millisecond)
	})
}
