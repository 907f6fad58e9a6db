// Package mangobudget limits the retries that a fleet of daemons sends to a service, without a coordinator.
//
// # Usage
//
// Each daemon counts its own requests and retries and spends its share of the fleet's budget:
//
//	budget := mangobudget.New(mangobudget.Limit{Ratio: 0.2, Slack: 198, Window: 10 * time.Second})
//	budget.CountRequest("service", now)
//	if budget.Take("service", daemons, 0, now) { ... }
//
// A daemon never sends more retries than the ratio allows for its own requests, plus an equal share of the slack. So the
// fleet stays within the limit whatever the other daemons do.
package mangobudget
