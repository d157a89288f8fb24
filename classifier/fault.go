package classifier

import (
	"context"
	"errors"
	"time"
)

// Fault is an error that reports why a request has no response and whether its
// work was executed. The set of faults is closed; front ends map each type to
// their protocol.
type Fault interface {
	error
	// Outcome reports whether the work was executed.
	Outcome() Outcome
	// Detail is the explanation for the caller.
	Detail() string
	// RetryAfter is the time to wait before a retry; zero means that a retry is
	// useless or not known to be safe.
	RetryAfter() time.Duration
	Unwrap() error
	fault()
}

// base implements the methods common to all faults.
type base struct {
	outcome    Outcome
	detail     string
	retryAfter time.Duration
	cause      error
}

func (b *base) fault()                    {}
func (b *base) Outcome() Outcome          { return b.outcome }
func (b *base) Detail() string            { return b.detail }
func (b *base) RetryAfter() time.Duration { return b.retryAfter }
func (b *base) Unwrap() error             { return b.cause }

func (b *base) Error() string {
	if b.cause == nil {
		return b.detail
	}
	return b.detail + ": " + b.cause.Error()
}

// The faults of a request. They are used through pointers only.
type (
	// Invalid reports a malformed request.
	Invalid struct{ base }
	// TooLarge reports a body or header that exceeds its limit.
	TooLarge struct{ base }
	// Unauthorized reports a request without the required access key.
	Unauthorized struct{ base }
	// NotOffered reports an adapter, version or service that the bundle in force
	// does not offer.
	NotOffered struct{ base }
	// KeyMissing reports a non-idempotent request without an idempotency key.
	KeyMissing struct{ base }
	// KeyReused reports an idempotency key that was used with a different body
	// before.
	KeyReused struct{ base }
	// InProgress reports an idempotency key whose first attempt has not finished.
	InProgress struct{ base }
	// Overloaded reports that a limit of the node is reached.
	Overloaded struct{ base }
	// QuotaExceeded reports that the quota of the caller's workspace is used up.
	QuotaExceeded struct{ base }
	// Unavailable reports that a dependency of the request cannot be reached.
	Unavailable struct{ base }
	// Withheld reports that the node cannot determine which of two bundles is in
	// force and that they differ for this request.
	Withheld struct{ base }
	// Expired reports that the deadline of the request has passed.
	Expired struct{ base }
	// Canceled reports that the caller canceled the request or disconnected.
	Canceled struct{ base }
	// Stopped reports a request that is blocked because it crashed endpoints before.
	Stopped struct{ base }
	// Uncertain reports work that was sent to an endpoint and got no complete
	// response.
	Uncertain struct{ base }
)

// Option sets an optional property of a fault.
type Option func(*base)

// RetryAfter sets the time after which a retry may succeed.
func RetryAfter(d time.Duration) Option {
	return func(b *base) { b.retryAfter = d }
}

// Cause sets the underlying error of the fault.
func Cause(err error) Option {
	return func(b *base) { b.cause = err }
}

// MayHaveRun sets the outcome to Unknown.
func MayHaveRun() Option {
	return func(b *base) { b.outcome = Unknown{} }
}

func newBase(o Outcome, detail string, opts []Option) base {
	b := base{outcome: o, detail: detail}
	for _, opt := range opts {
		opt(&b)
	}
	return b
}

// NewInvalid returns an Invalid fault; the work did not run.
func NewInvalid(detail string, opts ...Option) *Invalid {
	return &Invalid{newBase(NotRun{}, detail, opts)}
}

// NewTooLarge returns a TooLarge fault; the work did not run.
func NewTooLarge(detail string, opts ...Option) *TooLarge {
	return &TooLarge{newBase(NotRun{}, detail, opts)}
}

// NewUnauthorized returns an Unauthorized fault; the work did not run.
func NewUnauthorized(detail string, opts ...Option) *Unauthorized {
	return &Unauthorized{newBase(NotRun{}, detail, opts)}
}

// NewNotOffered returns a NotOffered fault; the work did not run.
func NewNotOffered(detail string, opts ...Option) *NotOffered {
	return &NotOffered{newBase(NotRun{}, detail, opts)}
}

// NewKeyMissing returns a KeyMissing fault; the work did not run.
func NewKeyMissing(detail string, opts ...Option) *KeyMissing {
	return &KeyMissing{newBase(NotRun{}, detail, opts)}
}

// NewKeyReused returns a KeyReused fault; the work for this body did not run.
func NewKeyReused(detail string, opts ...Option) *KeyReused {
	return &KeyReused{newBase(NotRun{}, detail, opts)}
}

// NewInProgress returns an InProgress fault; the first attempt may have run.
func NewInProgress(detail string, opts ...Option) *InProgress {
	return &InProgress{newBase(Unknown{}, detail, opts)}
}

// NewOverloaded returns an Overloaded fault; the work did not run.
func NewOverloaded(detail string, opts ...Option) *Overloaded {
	return &Overloaded{newBase(NotRun{}, detail, opts)}
}

// NewQuotaExceeded returns a QuotaExceeded fault; the work did not run.
func NewQuotaExceeded(detail string, opts ...Option) *QuotaExceeded {
	return &QuotaExceeded{newBase(NotRun{}, detail, opts)}
}

// NewUnavailable returns an Unavailable fault; the work did not run unless
// MayHaveRun is given.
func NewUnavailable(detail string, opts ...Option) *Unavailable {
	return &Unavailable{newBase(NotRun{}, detail, opts)}
}

// NewWithheld returns a Withheld fault; the work did not run.
func NewWithheld(detail string, opts ...Option) *Withheld {
	return &Withheld{newBase(NotRun{}, detail, opts)}
}

// NewExpired returns an Expired fault; the work did not run unless MayHaveRun is
// given.
func NewExpired(detail string, opts ...Option) *Expired {
	return &Expired{newBase(NotRun{}, detail, opts)}
}

// NewCanceled returns a Canceled fault; the work did not run unless MayHaveRun is
// given.
func NewCanceled(detail string, opts ...Option) *Canceled {
	return &Canceled{newBase(NotRun{}, detail, opts)}
}

// NewStopped returns a Stopped fault; this attempt did not run.
func NewStopped(detail string, opts ...Option) *Stopped {
	return &Stopped{newBase(NotRun{}, detail, opts)}
}

// NewUncertain returns an Uncertain fault; the work may have run.
func NewUncertain(detail string, opts ...Option) *Uncertain {
	return &Uncertain{newBase(Unknown{}, detail, opts)}
}

func (b *base) setOutcome(o Outcome) { b.outcome = o }

// unknownCopy returns a copy of a fault with the outcome Unknown.
func unknownCopy[T any, P interface {
	*T
	setOutcome(o Outcome)
}](f P) P {
	c := *f
	P(&c).setOutcome(Unknown{})
	return &c
}

// AsUnknown returns a copy of a fault with the outcome Unknown. It is used when an
// attempt is refused although an earlier attempt at the same work may have run.
func AsUnknown(f Fault) Fault {
	switch f := f.(type) {
	case *Invalid:
		return unknownCopy(f)
	case *TooLarge:
		return unknownCopy(f)
	case *Unauthorized:
		return unknownCopy(f)
	case *NotOffered:
		return unknownCopy(f)
	case *KeyMissing:
		return unknownCopy(f)
	case *KeyReused:
		return unknownCopy(f)
	case *InProgress:
		return unknownCopy(f)
	case *Overloaded:
		return unknownCopy(f)
	case *QuotaExceeded:
		return unknownCopy(f)
	case *Unavailable:
		return unknownCopy(f)
	case *Withheld:
		return unknownCopy(f)
	case *Expired:
		return unknownCopy(f)
	case *Canceled:
		return unknownCopy(f)
	case *Stopped:
		return unknownCopy(f)
	case *Uncertain:
		return unknownCopy(f)
	default:
		return NewUncertain(f.Detail(), Cause(f))
	}
}

// Of returns the fault in err's chain. A context error becomes Expired or Canceled
// and any other unclassified error Uncertain, all with the outcome Unknown, because
// nothing guarantees that the work did not run.
func Of(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return NewExpired("the deadline passed", Cause(err), MayHaveRun())
	case errors.Is(err, context.Canceled):
		return NewCanceled("the caller went away", Cause(err), MayHaveRun())
	default:
		return NewUncertain("internal error", Cause(err))
	}
}
