package mangocapacity

import "time"

const (
	// MaxAge is the age from which a view is not used any more.
	MaxAge = 2 * time.Second
	// refillTime is the least time over which free memory is handed out, and the time over which a queue is brought to waitGoal.
	// It is twice the usual age of a view: a control loop that reacts faster than its input is updated oscillates.
	refillTime = 2 * time.Second
	// minRefillFactor is the least factor by which free memory counts. It is above 1 because measured demand lags behind a fall and
	// is then too high.
	minRefillFactor = 1.5
	// reserveShare is the share of the memory that is kept free for started streams that move to other replicas, and for replicas
	// of a layer that are unevenly full.
	reserveShare = 0.08
	// shortFrom is the share of the memory in use up to which memory counts as plentiful. From shortFully on the limit on admission
	// applies in full; in between it is relaxed gradually.
	shortFrom  = 0.5
	shortFully = 0.85
	// waitFrom is the wait for a first event, as a share of the target, above which prefill is short, and waitGoal the wait that is
	// aimed at then. The rest up to the target covers differences among requests. Lower values take a constant latency below half
	// of the target for a queue, and refuse requests although nothing is queued.
	waitFrom = 0.3
	waitGoal = 0.6
	// newFloor and returningFloor are the least shares of the requests of new and returning callers that are admitted, so that no
	// rank starves. The latter is lower because callers return several times, and each time has this chance of admission.
	newFloor       = 0.1
	returningFloor = 0.03
	// floorsRoomShare is the largest share of the room that all floors take together. Callers that retry without a back-off look
	// like a demand of many times the room, and would otherwise take all of it through their floors.
	floorsRoomShare = 0.5
	// largeFrom is the memory, in units of the mean of the class, from which a request counts as large, and largeBonus the factor
	// by which its share is raised, because replicas refuse large requests more often than small ones.
	largeFrom  = 1.5
	largeBonus = 1.15
	// backlogTime is the time whose demand is assumed to be served before a refused caller. Shorter times make callers return
	// several times during a burst.
	backlogTime = 4 * time.Second
	// minRetryAfter is the time in which the view can change: the interval of reports to hubs plus that of their updates.
	minRetryAfter = 700 * time.Millisecond
	// maxRetryAfter bounds the retry time of callers that did not state a deadline.
	maxRetryAfter = 10 * time.Second
	// retryShare is the share of the time left within which callers come back at the latest, and retrySpread the share of the retry
	// time over which they are spread (jitter).
	retryShare  = 1.0 / 3
	retrySpread = 0.4
)

// Work is what a request needs, in tokens.
type Work struct {
	// Tokens is the memory that it takes, averaged over its life. PromptTokens is the part that has to be prefilled, and
	// AnswerTokens the expected length of the answer.
	Tokens, PromptTokens, AnswerTokens float64
}

func (w Work) demand() Demand {
	return Demand{Requests: 1, Tokens: w.Tokens, PromptTokens: w.PromptTokens, TokenSteps: w.Tokens * w.AnswerTokens}
}

// ClassDemand is the demand of one class at all daemons.
type ClassDemand struct {
	Class
	Demand
}

// View is what is known of one service.
type View struct {
	// Sites has the data centres whose replicas hold the whole model.
	Sites []Site
	// Demand has the classes in order of urgency.
	Demand []ClassDemand
	// DemandAt is the demand for memory by the data centre of the daemons, in tokens.
	DemandAt map[string]float64
	// StepTime is the mean time of one token of an answer.
	StepTime time.Duration
	// Age is the age of the part of the view that other daemons reported.
	Age time.Duration
}

// Request is a request that is to be judged.
type Request struct {
	Class
	Work
	// Target is the time within which the first event should arrive, and TimeLeft the time until the deadline; 0 means
	// none.
	Target, TimeLeft time.Duration
	// Random is a random number in [0, 1).
	Random float64
}

// Reason says what decided about a request, as it appears in logs.
type Reason string

const (
	// ReasonRoom means that there is room for all demand.
	ReasonRoom Reason = "room"
	// ReasonNoView means that the view is too old or has no site, so that nothing was decided.
	ReasonNoView Reason = "no_view"
	// ReasonMemory means that the memory of the replicas decided the share of the class.
	ReasonMemory Reason = "memory"
	// ReasonReading means that the prefill rate of the replicas decided it.
	ReasonReading Reason = "reading"
	// ReasonDeadline means that the first event would come after the deadline.
	ReasonDeadline Reason = "deadline"
)

// Decision is the judgement of a request, with the numbers that decided it.
type Decision struct {
	// Admit says that the request is admitted.
	Admit bool
	// Share is the share of the request's class that is admitted.
	Share  float64
	Reason Reason
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	// Room is the demand that can be admitted, and Demand the demand of all classes: tokens in use for ReasonMemory, prompt tokens
	// per second for ReasonReading.
	Room, Demand float64
}

// Decide admits or refuses a request. The probability of a refusal is a continuous function of the view, so that daemons with the
// same view together admit what fits.
func Decide(v View, r Request) Decision {
	if v.Age > MaxAge || len(v.Sites) == 0 || len(v.Demand) == 0 {
		return Decision{Admit: true, Share: 1, Reason: ReasonNoView}
	}
	if wait := v.leastWait(); r.TimeLeft > 0 && wait >= r.TimeLeft {
		return Decision{Reason: ReasonDeadline, RetryAfter: retryAfter(wait, r, r.Random)}
	}
	d := Decision{Admit: true, Share: 1, Reason: ReasonRoom}
	if room, short := v.memoryRoom(); short {
		d = d.limitedBy(v, r, ReasonMemory, room, v.memory)
	}
	if room, short := v.prefillRoom(r.Target); short {
		d = d.limitedBy(v, r, ReasonReading, room, promptTokensOf)
	}
	if d.Share >= 1 || r.Random < d.Share {
		return d
	}
	d.Admit = false
	amount := v.memory
	if d.Reason == ReasonReading {
		amount = promptTokensOf
	}
	// Among refused requests the random number is uniform from the share up to 1.
	d.RetryAfter = retryAfter(v.backlog(r.Class, d.Room, amount), r, (r.Random-d.Share)/(1-d.Share))
	return d
}

// memory returns the memory that would be in use if all of a demand were admitted.
func (v View) memory(d Demand) float64 { return d.TokenSteps * v.StepTime.Seconds() }

func promptTokensOf(d Demand) float64 { return d.PromptTokens }

// memoryRoom returns the demand for memory that there is room for; short is false if there is plenty. Requests that hold their
// memory for longer than refillTime let it fill slowly, so more of them can be admitted at first.
func (v View) memoryRoom() (room float64, short bool) {
	var capacity, used, usable, tokens, needed float64
	for _, s := range v.Sites {
		capacity += s.Capacity
		used += s.Used
		usable += (1 - reserveShare) * s.Capacity
	}
	for _, c := range v.Demand {
		tokens += c.Tokens
		needed += v.memory(c.Demand)
	}
	held := needed / max(tokens, 1) // The mean time for which memory is held, in seconds.
	free := max(usable-used, 0)
	room = usable - free + free*max(held/refillTime.Seconds(), minRefillFactor)
	share := used / max(capacity, 1)
	if share <= shortFrom {
		return room, false
	}
	// The room grows without limit towards shortFrom, so that it has no step there.
	return room / min((share-shortFrom)/(shortFully-shortFrom), 1), true
}

// prefillRoom returns the prompt tokens per second that can be prefilled within the target; short is false if the wait at some
// site is below waitFrom, since requests can go there.
func (v View) prefillRoom(target time.Duration) (room float64, short bool) {
	if target <= 0 {
		return 0, false
	}
	for _, s := range v.Sites {
		wait := float64(s.Wait) / float64(target)
		if wait <= waitFrom {
			return 0, false
		}
		// The room grows without limit towards waitFrom, so that it has no step where prefill begins to be short.
		gap := (waitGoal - wait) * float64(target) / float64(refillTime)
		room += s.Read * max(1+gap, 0) / min((wait-waitFrom)/(waitGoal-waitFrom), 1)
	}
	return room, true
}

// limitedBy returns the decision with the share that one more resource leaves to the class of the request, if it is less.
func (d Decision) limitedBy(v View, r Request, reason Reason, room float64, amount func(Demand) float64) Decision {
	total := 0.0
	for _, c := range v.Demand {
		total += amount(c.Demand)
	}
	if total <= room {
		return d
	}
	share := v.share(r.Class, room, amount)
	if v.IsLarge(r.Class, r.Work) {
		share = min(share*largeBonus, 1)
	}
	if share >= d.Share {
		return d
	}
	return Decision{Admit: true, Share: share, Reason: reason, Room: room, Demand: total}
}

// share returns the share of a class that a room leaves to it: each class gets its floor, and the rest goes to the most
// urgent first.
func (v View) share(class Class, room float64, amount func(Demand) float64) float64 {
	floors := 0.0
	for _, c := range v.Demand {
		floors += c.floor() * amount(c.Demand)
	}
	scale := 1.0
	if floors > floorsRoomShare*room {
		scale = floorsRoomShare * room / floors
	}
	rest := room - scale*floors
	for _, c := range v.Demand {
		floor := scale * c.floor()
		above := (1 - floor) * amount(c.Demand)
		if c.Class == class && above > 0 {
			return floor + (1-floor)*min(max(rest, 0)/above, 1)
		}
		if c.compare(class) < 0 {
			rest -= above
		}
	}
	if rest > 0 {
		return 1
	}
	return scale * class.floor()
}

// floor returns the least share of the class that is admitted.
func (c Class) floor() float64 {
	if c.Returning {
		return returningFloor
	}
	return newFloor
}

// IsLarge reports whether a request needs at least largeFrom times the mean memory of its class.
func (v View) IsLarge(class Class, w Work) bool {
	mean := v.meanTokens(class)
	return mean > 0 && w.Tokens >= largeFrom*mean
}

// meanTokens returns the mean memory of the requests of a class; 0 if there are none.
func (v View) meanTokens(class Class) float64 {
	for _, c := range v.Demand {
		if c.Class == class && c.Requests > 0 {
			return c.Tokens / c.Requests
		}
	}
	return 0
}

// leastWait returns the shortest wait for a first event of all sites.
func (v View) leastWait() time.Duration {
	least := v.Sites[0].Wait
	for _, s := range v.Sites[1:] {
		least = min(least, s.Wait)
	}
	return least
}

// backlog returns the time that it takes to serve the demand of backlogTime of a class and of the more urgent ones.
func (v View) backlog(class Class, room float64, amount func(Demand) float64) time.Duration {
	before := 0.0
	for _, c := range v.Demand {
		if c.compare(class) <= 0 {
			before += amount(c.Demand)
		}
	}
	if room <= 0 || before/room > maxRetryAfter.Seconds()/backlogTime.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(before / room * float64(backlogTime))
}

// retryAfter returns the Retry-After time of a caller that is expected to find room after the time after. random in [0, 1) is the
// jitter. The time is within the limits of LimitRetryAfter.
func retryAfter(after time.Duration, r Request, random float64) time.Duration {
	after = LimitRetryAfter(max(after, minRetryAfter), r.TimeLeft)
	return after - time.Duration(retrySpread*random*float64(after))
}

// LimitRetryAfter bounds a retry time by the longest one that callers wait for: retryShare of timeLeft, or maxRetryAfter if
// timeLeft is 0 because there is no deadline.
func LimitRetryAfter(after, timeLeft time.Duration) time.Duration {
	if timeLeft > 0 {
		return min(after, time.Duration(retryShare*float64(timeLeft)))
	}
	return min(after, maxRetryAfter)
}
