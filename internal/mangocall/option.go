package mangocall

import "time"

const (
	// defaultFloor leaves room for a garbage collection or a lost packet on the link.
	defaultFloor = 150 * time.Millisecond
	// defaultCeiling keeps the next token within 2 s of a hang.
	defaultCeiling = time.Second
	// defaultPrefillCeiling bounds a prefill, which takes longer than a decode step.
	defaultPrefillCeiling = 5 * time.Second
	// defaultOpenTimeout bounds the opening of a stage, also when a connection is replaced.
	defaultOpenTimeout = 500 * time.Millisecond
	// defaultMoveTime lets short answers finish on a leaving host.
	defaultMoveTime = 2 * time.Second
	// defaultTransferTimeout bounds export and import of a KV cache together.
	defaultTransferTimeout = 2 * time.Second
	// defaultAttempts bounds the attempts of a call and defaultRefusals the choices that refusals may cost.
	defaultAttempts = 8
	defaultRefusals = 16
	// defaultCancels bounds the cancellations that run in the background at once; more are dropped.
	defaultCancels = 256
	cancelTimeout  = time.Second
	// defaultMaxTokens and defaultDeadline are the schema's values for profiles that set none.
	defaultMaxTokens = 512
	defaultDeadline  = time.Minute
)

type options struct {
	floor, ceiling, prefillCeiling time.Duration
	openTimeout                    time.Duration
	moveTime, transferTimeout      time.Duration
	attempts, refusals, cancels    int
	budget                         *RetryBudget
	seed                           func() uint64
	digest                         func(prompt string) string
	check                          func(fingerprint string) error
}

// Option changes a driver.
type Option func(*options)

// WithStepTimeouts bounds the deadlines of steps that are derived from measured times.
func WithStepTimeouts(floor, ceiling, prefillCeiling time.Duration) Option {
	return func(o *options) { o.floor, o.ceiling, o.prefillCeiling = floor, ceiling, prefillCeiling }
}

// WithOpenTimeout bounds the opening of a stage; the default is 500 ms.
func WithOpenTimeout(timeout time.Duration) Option {
	return func(o *options) { o.openTimeout = timeout }
}

// WithMove sets how long a host must be leaving before its calls move, and the time for a move.
func WithMove(after, timeout time.Duration) Option {
	return func(o *options) { o.moveTime, o.transferTimeout = after, timeout }
}

// WithAttempts bounds the attempts of a call and the refused or failed openings that use no attempt.
func WithAttempts(attempts, refusals int) Option {
	return func(o *options) { o.attempts, o.refusals = attempts, refusals }
}

// WithRetryBudget shares a retry budget; the default is one of its own.
func WithRetryBudget(budget *RetryBudget) Option {
	return func(o *options) { o.budget = budget }
}

// WithSeed sets the source of seeds for choices.
func WithSeed(seed func() uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithPrefixDigest sets how the prefix of a prompt is identified.
func WithPrefixDigest(digest func(prompt string) string) Option {
	return func(o *options) { o.digest = digest }
}

// WithSuspectCheck sets what is asked before an attempt that follows a crash. An *Error that is returned ends the call
// with its kind, and with its outcome if that is Rejected.
func WithSuspectCheck(check func(fingerprint string) error) Option {
	return func(o *options) { o.check = check }
}
