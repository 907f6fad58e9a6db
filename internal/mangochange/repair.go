package mangochange

import (
	"context"

	"mangopath.org/mangopath/internal/mangoprofile"
)

// Repair writes the newer of the known book and the book of this Log to the store when the store's head is behind it, as
// after a restore of the store from a backup, and does nothing otherwise. KindFork means that the store has accepted
// other changes since; the store is then left as it is.
func (l *Log) Repair(ctx context.Context, known *mangoprofile.Book) error {
	book, err := l.newerBook("Repair", known)
	if err != nil {
		return err
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !l.backOff(ctx, attempt) {
			break
		}
		err = l.repairOnce(ctx, book)
		if kind := kindOf(err); kind != KindContention && kind != KindUnknown {
			return err
		}
	}
	return err
}

// repairOnce makes one attempt of Repair.
func (l *Log) repairOnce(ctx context.Context, book *mangoprofile.Book) error {
	s, err := l.readHead(ctx, "Repair")
	if err != nil {
		return err
	}
	if err := checkCommonHistory("Repair", s.head, book); err != nil {
		return err
	}
	if s.head.GetRevision() >= book.Revision() {
		return nil
	}
	return l.writeBook(ctx, "Repair", s, book)
}
