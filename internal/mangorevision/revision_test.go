package mangorevision

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a revision of an earlier era that counts as the later one, and against a number that the store does not know.
func TestJoinOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, 2000)
		number := rapid.Uint64Range(0, numberMask)
		e1, e2, n1, n2 := era.Draw(t, "e1"), era.Draw(t, "e2"), number.Draw(t, "n1"), number.Draw(t, "n2")
		r1, r2 := Join(e1, n1), Join(e2, n2)
		if Era(r1) != e1 || Number(r1) != n1 {
			t.Fatalf("%d:%d becomes %s", e1, n1, Text(r1))
		}
		later := e1 > e2 || (e1 == e2 && n1 > n2)
		if later != (r1 > r2) {
			t.Fatalf("%s and %s are out of order", Text(r1), Text(r2))
		}
		if r1 >= 1<<53 {
			t.Fatalf("%s does not fit into a floating-point number", Text(r1))
		}
	})
}

// Guards against log lines in which revisions of two eras look alike.
func TestText(t *testing.T) {
	tests := []struct {
		revision uint64
		want     string
	}{
		{93, "93"},
		{Join(1, 93), "1:93"},
		{Join(2, 93), "2:93"},
	}
	for _, tt := range tests {
		is.New(t).Equal(Text(tt.revision), tt.want)
	}
}
