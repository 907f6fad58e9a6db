// Package mangometric has the Prometheus metrics of an entry host. Names of metrics end in their units. Each label has few
// values, so customers and hosts are not used as labels.
//
// # Usage
//
//	metrics, err := mangometric.New(registry)
//	metrics.CallDone("completion", "Answer", "", took)
//	metrics.SetBookRevision(revision, time.Now())
//
// NewRelay returns the metrics of a daemon that serves the platform's requests. docs/OPERATIONS.md says for which metrics to
// set up alerts.
package mangometric
