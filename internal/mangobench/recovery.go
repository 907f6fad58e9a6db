package mangobench

import (
	"fmt"
	"io"
)

// Recovery is the measured effect of a fault on the calls through one router.
type Recovery struct {
	Router string
	Fault  string
	// Measure names the quantity in Value and its unit.
	Measure string
	Value   float64
	// Whole is the share of the affected calls that were answered in full, or negative if this was not measured.
	Whole float64
}

// writeRecovery writes the effects of faults as a Markdown table, or nothing if there are none.
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
