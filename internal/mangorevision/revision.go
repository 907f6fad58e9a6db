package mangorevision

import "strconv"

const (
	// numberBits is the number of bits of a revision below its era. At 10,000 changes a second they last for 13 years. The 11 bits
	// left below 2^53 are for eras, so that a JSON decoder that reads numbers as floating point keeps all of a fencing number.
	numberBits = 42
	numberMask = 1<<numberBits - 1
)

// Join returns the revision with a number in an era of the store. An era of 0 stands for a store without eras.
func Join(era, number uint64) uint64 { return era<<numberBits + number }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number of a revision as the store knows it.
func Number(revision uint64) uint64 { return revision & numberMask }

// Text returns a revision as it appears in logs: the era and the number, or only the number without an era.
func Text(revision uint64) string {
	number := strconv.FormatUint(Number(revision), 10)
	if Era(revision) == 0 {
		return number
	}
	return strconv.FormatUint(Era(revision), 10) + ":" + number
}
