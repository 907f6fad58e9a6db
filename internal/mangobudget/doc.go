// Package mangobudget bounds the retries that a fleet of daemons sends to a service, without a coordinator.
//
// # Usage
//
// Each daemon has a share of the fleet's budget:
//
//	budget := mangobudget.New(mangobudget.Limit{Ratio: 0.2, Slack: 198, Window: 10 * time.Second})
//	budget.Request("service", now)
//	if budget.Take("service", daemons, 0, now) { ... }
//
// A daemon never spends more than its own ratio and an equal part of the slack, whatever the others do.
package mangobudget
