package mangorelay

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// Results of new streams of services with several ranks, as counted and logged at their end.
const (
	// rankedOnTime says that the answer was complete, with its first event and all gaps within the targets of the route.
	rankedOnTime = "OnTime"
	rankedLate   = "Late"
	// rankedRefused says that a daemon refused the stream with status 503; a 503 of an upstream is rankedFailed.
	rankedRefused = "Refused"
	rankedFailed  = "Failed"
	// rankedCallerGone says that the caller left before the end.
	rankedCallerGone = "CallerGone"
)

// isRankedStream reports whether the end of the request is counted by rank. A request that was refused before its service was chosen
// is not.
func (c *call) isRankedStream() bool { return c.service != nil && c.isStreamOfRanks() }

// rankedResult returns the result of a stream. whole says that all of its answer was written.
func (c *call) rankedResult(whole bool) string {
	switch {
	case c.outcome == resultCallerGone.String():
		return rankedCallerGone
	case c.status == http.StatusServiceUnavailable && c.failedAnswer == nil && c.outcome != resultDelivered.String():
		return rankedRefused
	case !whole || !isSuccess(c.status):
		return rankedFailed
	case c.route.LatencyTarget > 0 && c.firstEventDelay > c.route.LatencyTarget, c.route.GapTarget > 0 && c.longestGap > c.route.GapTarget:
		return rankedLate
	default:
		return rankedOnTime
	}
}

// countRankedStream counts the end of a stream by its rank and size.
func (c *call) countRankedStream(whole bool) {
	if !c.isRankedStream() {
		return
	}
	caller, size := "New", "Usual"
	if c.isReturning() {
		caller = "Returning"
	}
	if c.large {
		size = "Large"
	}
	c.relay.observer.RankedStream(c.rank().Priority, c.rank().RoutePriority, caller, size, c.rankedResult(whole))
}

// rankedStreamFields returns the log fields by which streams of several ranks can be compared; none for other requests.
func (c *call) rankedStreamFields(whole bool) logrus.Fields {
	if !c.isRankedStream() {
		return nil
	}
	rank := c.rank()
	return logrus.Fields{
		"rank": rank.Priority, "route_priority": rank.RoutePriority, "returning": c.isReturning(), "tokens": int(c.work().Tokens), "large": c.large,
		"result": c.rankedResult(whole),
	}
}
