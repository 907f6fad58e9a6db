// Package mangoshutdown decides what a daemon does between the signal to stop and the end of its process: its phases, which
// requests may still begin, and what each running one gets at the end. All times of a stop are counted from the signal, so that
// they fit into the grace period together.
//
// # Usage
//
//	shutdown := mangoshutdown.New()
//	shutdown.Begin(mangoshutdown.NewPlan(time.Now(), gracePeriod))
//	plan, stopping := shutdown.Plan()
//	if stopping && !plan.Admits(request, now) {
//		// Refuse the request.
//	}
//
// A Plan and its decisions are values without side effects; Shutdown is the one state that the parts of a daemon share.
package mangoshutdown
