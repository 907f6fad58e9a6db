// Package mangometric has the metrics of an entry host. Names end in their units; labels have few values each, so
// customers and hosts are not among them.
//
// # Usage
//
//	metrics, err := mangometric.New(registry)
//	metrics.CallDone("completion", "Answer", "", took)
//	metrics.Confirmed(revision, time.Now())
//
// docs/OPERATIONS.md says on which metrics to alarm.
package mangometric
