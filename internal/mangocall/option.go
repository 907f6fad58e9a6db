package mangocall

import "time"

const (
	// defaultMinTimeout leaves room for a garbage collection or a packet that is lost and sent again.
	defaultMinTimeout = 150 * time.Millisecond
	// defaultMaxTimeout is short enough for the next token to follow within 2 s when a connection hangs.
	defaultMaxTimeout = time.Second
	// defaultMaxPrefillTimeout is longer, since a prefill takes longer than a decode step.
	defaultMaxPrefillTimeout = 5 * time.Second
	// defaultOpenTimeout bounds the opening of the stream of a stage, both the first one and each that replaces it.
	defaultOpenTimeout = 500 * time.Millisecond
	// defaultMoveAfter lets short answers finish on a leaving host instead of moving.
	defaultMoveAfter = 2 * time.Second
	// defaultTransferTimeout bounds the export and the import of a KV cache together.
	defaultTransferTimeout = 2 * time.Second
	// defaultMaxAttempts bounds the attempts of a call that send a step. defaultMaxChooseRetries bounds how often a chain is
	// chosen again because no step could be sent.
	defaultMaxAttempts      = 8
	defaultMaxChooseRetries = 16
	// defaultMaxCancels bounds the cancellations that run in the background at the same time; more are dropped.
	defaultMaxCancels = 256
	cancelTimeout     = time.Second
	// defaultMaxTokens and defaultDeadline are the defaults of the schema, for profiles that set none.
	defaultMaxTokens = 512
	defaultDeadline  = time.Minute
)

type options struct {
	minTimeout, maxTimeout, maxPrefillTimeout time.Duration
	openTimeout                               time.Duration
	moveAfter, transferTimeout                time.Duration
	maxAttempts, maxChooseRetries, maxCancels int
	retryBudget                               *RetryBudget
	seed                                      func() uint64
	digestPrefix                              func(prompt string) string
	suspectCheck                              func(fingerprint string) error
}

// Option configures a driver.
type Option func(*options)

// WithStepTimeouts bounds the timeouts of steps, which are derived from measured durations. The defaults are 150 ms, 1 s for
// decode steps and 5 s for prefills.
func WithStepTimeouts(minTimeout, maxTimeout, maxPrefillTimeout time.Duration) Option {
	return func(o *options) {
		o.minTimeout, o.maxTimeout, o.maxPrefillTimeout = minTimeout, maxTimeout, maxPrefillTimeout
	}
}

// WithOpenTimeout bounds the opening of the stream of a stage; the default is 500 ms.
func WithOpenTimeout(timeout time.Duration) Option {
	return func(o *options) { o.openTimeout = timeout }
}

// WithMove sets how long a host must be leaving before its calls move, and the timeout for the transfer of a KV cache.
func WithMove(moveAfter, transferTimeout time.Duration) Option {
	return func(o *options) { o.moveAfter, o.transferTimeout = moveAfter, transferTimeout }
}

// WithAttempts bounds the attempts of a call that send a step, and how often a chain is chosen again because no step could
// be sent.
func WithAttempts(maxAttempts, maxChooseRetries int) Option {
	return func(o *options) { o.maxAttempts, o.maxChooseRetries = maxAttempts, maxChooseRetries }
}

// WithRetryBudget makes the driver share a retry budget with others; by default it has one of its own.
func WithRetryBudget(budget *RetryBudget) Option {
	return func(o *options) { o.retryBudget = budget }
}

// WithSeed sets the source of the random seeds with which chains are chosen.
func WithSeed(seed func() uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithPrefixDigest sets the function that returns an identifier for the prefix of a prompt.
func WithPrefixDigest(digest func(prompt string) string) Option {
	return func(o *options) { o.digestPrefix = digest }
}

// WithSuspectCheck sets a function that is called before an attempt that follows a crash. If it returns an error, the call
// ends. Of an *Error, the call's error has the kind, and the outcome if that is Rejected.
func WithSuspectCheck(check func(fingerprint string) error) Option {
	return func(o *options) { o.suspectCheck = check }
}
