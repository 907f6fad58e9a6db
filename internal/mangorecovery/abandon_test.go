package mangorecovery

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that waits for an answer that cannot come, and against one that leaves a first replica which is alive but
// slow to answer, or that has nowhere else to go.
func TestAbandon(t *testing.T) {
	silent := PendingOrder{Age: SilentOrderWait, Overdue: true, CanRestart: true}
	with := func(change func(p *PendingOrder)) PendingOrder {
		p := silent
		change(&p)
		return p
	}
	tests := []struct {
		name string
		p    PendingOrder
		want Abandonment
	}{
		{"no sign of life", silent, FirstSilent},
		{"a young order", with(func(p *PendingOrder) { p.Age-- }), NotAbandoned},
		{"another stream has an event", with(func(p *PendingOrder) { p.FirstAlive = true }), NotAbandoned},
		{"the next event is not overdue", with(func(p *PendingOrder) { p.Overdue = false }), NotAbandoned},
		{"no attempt left", with(func(p *PendingOrder) { p.CanRestart = false }), NotAbandoned},
		{"found lost", PendingOrder{FirstLost: true, FirstAlive: true, CanRestart: true}, FirstLost},
		{"found lost and no attempt left", PendingOrder{FirstLost: true}, FirstLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Abandon(tt.p), tt.want)
		})
	}
}
