package mangobench

import (
	"fmt"
	"io"
)

// Recovery is a fault's effect on one router.
type Recovery struct {
	Router string
	Fault  string
	// Measure says what Value is.
	Measure string
	Value   float64
	// Whole is the share of the affected calls that were answered whole, or negative when there is none.
	Whole float64
}

func writeRecovery(w io.Writer, all []Recovery) error {
	if len(all) == 0 {
		return nil
	}
	_, err := fmt.Fprint(w, "\n| router | fault | measure | value | answered whole |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range all {
		whole := "-"
		if r.Whole >= 0 {
			whole = fmt.Sprintf("%.3f", r.Whole)
		}
		_, err = fmt.Fprintf(w, "| %s | %s | %s | %.2f | %s |\n", r.Router, r.Fault, r.Measure, r.Value, whole)
	}
	return err
}
