package mangochange_test

import (
	"fmt"
	"testing"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostorefake"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against a poll whose cost grows with the size of the book: it has 17,000 customers, an almost full tail and one
// new change.
func BenchmarkPollOneChange(b *testing.B) {
	store := mangostorefake.New()
	book := mangoprofile.New()
	for i := range uint64(17000) {
		next, err := book.With(&mangomessage.Entry{
			Revision: i + 1, ChangeId: fmt.Sprint("id", i+1), Content: customer(0, fmt.Sprint("c", i), "").GetEntry().GetContent(),
		})
		if err != nil {
			b.Fatal(err)
		}
		book = next
	}
	writer := mangochange.New(store)
	if err := writer.Repair(b.Context(), book); err != nil {
		b.Fatal(err)
	}
	for i := range 62 {
		if _, err := writer.Propose(b.Context(), customer(0, fmt.Sprint("d", i), fmt.Sprint("tail", i))); err != nil {
			b.Fatal(err)
		}
	}
	known, err := mangochange.New(store).Poll(b.Context(), mangoprofile.New())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := writer.Propose(b.Context(), customer(0, "last", "last")); err != nil {
		b.Fatal(err)
	}
	item, err := store.Get(b.Context(), mangochange.HeadKey)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if next, err := mangochange.New(store).Poll(b.Context(), known); err != nil || next.Revision() != known.Revision()+1 {
			b.Fatal(next.Revision(), err)
		}
	}
	b.ReportMetric(float64(len(item.Value)), "head-bytes")
}
