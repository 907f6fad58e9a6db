package mangoprofile_test

import (
	"fmt"
	"testing"

	"mangopath.org/mangopath/internal/mangoprofile"
)

// Guards against a change that copies the whole book, at the target size of 17,000 customers.
func BenchmarkWith(b *testing.B) {
	book := mangoprofile.New()
	for i := range uint64(17000) {
		next, err := book.With(customerEntry(i+1, fmt.Sprint("customer-", i), fmt.Sprintf("%064x", i)))
		if err != nil {
			b.Fatal(err)
		}
		book = next
	}
	entry := customerEntry(17001, "customer-900", fmt.Sprintf("%064x", 900))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := book.With(entry); err != nil {
			b.Fatal(err)
		}
	}
}
