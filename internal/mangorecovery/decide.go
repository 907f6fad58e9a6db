package mangorecovery

const (
	// MaxRepairs bounds the successful repairs of one stream. After more losses its data centre is taken to be failing, and the
	// stream restarts elsewhere.
	MaxRepairs = 3
	// MaxOrders bounds the orders of one repair: the first one, and two retries after answers that name a missing part.
	MaxOrders = 3
)

// Answer is what the first replica of a chain answered to an order to change the path of a request.
type Answer int

const (
	// AnswerNone means that no order has been sent yet.
	AnswerNone Answer = iota
	// AnswerBegun means that the new parts have begun to prefill the tokens so far.
	AnswerBegun
	// AnswerDone means that the request already runs along the ordered path.
	AnswerDone
	// AnswerNoRequest means that the replica does not run the request.
	AnswerNoRequest
	// AnswerPartMissing means that a part of the path, which the answer names, is not there or has no capacity.
	AnswerPartMissing
	// AnswerMismatch means that the order does not fit the state of the replica.
	AnswerMismatch
	// AnswerMoved means that the address belongs to another replica.
	AnswerMoved
	// AnswerUnknown means that no answer arrived: the order may have been carried out, or may still be carried out later.
	AnswerUnknown
)

// String returns the name of an answer as it appears in logs.
func (a Answer) String() string {
	return [...]string{"None", "Begun", "Done", "NoRequest", "PartMissing", "Mismatch", "Moved", "Unknown"}[a]
}

// Step is what a stream does next.
type Step int

const (
	// StepOrder sends an order for the repaired chain.
	StepOrder Step = iota
	// StepWait waits for the next event; the silence limit starts anew.
	StepWait
	// StepRestart closes the stream, which cancels orders that may still be carried out, and sends the request anew.
	StepRestart
	// StepGiveUp closes the stream for good, because the request may not be sent again.
	StepGiveUp
)

// String returns the name of a step as it appears in logs.
func (s Step) String() string { return [...]string{"Order", "Wait", "Restart", "GiveUp"}[s] }

// Situation is what is known of a stream whose chain has, or had, a lost stage.
type Situation struct {
	// Answer is the answer to the last order of this repair.
	Answer Answer
	// Lost says that a stage of the chain is known to be lost, or was named as a missing part by an answer.
	Lost bool
	// Replaceable says that there is a chain that replaces all lost stages.
	Replaceable bool
	// Repairs counts the earlier repairs of the stream, and Orders the orders of this one.
	Repairs int
	Orders  int
	// CanRestart says that the request may be sent again.
	CanRestart bool
}

// Decide returns the next step of a stream. It is a pure function.
func Decide(s Situation) Step {
	switch s.Answer {
	case AnswerBegun, AnswerDone:
		return StepWait
	case AnswerNone, AnswerPartMissing:
		if !s.Lost {
			// The replica was avoided for a while, and has been reached again.
			return StepWait
		}
		if s.Replaceable && s.Repairs < MaxRepairs && s.Orders < MaxOrders {
			return StepOrder
		}
	case AnswerNoRequest, AnswerMismatch, AnswerMoved, AnswerUnknown:
		// The stream does not run along the ordered path, or it is not known whether it does.
	}
	if !s.CanRestart {
		return StepGiveUp
	}
	return StepRestart
}
