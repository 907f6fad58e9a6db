package mangoadmission

import (
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// progress tells the suspects of each token, by which a call shows that it passed the point of a crash.
type progress struct {
	mangocall.Sink
	suspects    Suspects
	fingerprint string
}

// Token implements mangocall.Sink.
func (p progress) Token(text string) error {
	p.suspects.Passed(p.fingerprint, time.Now())
	return p.Sink.Token(text)
}
