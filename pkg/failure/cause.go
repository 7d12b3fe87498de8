package failure

// Cause names what a refused or failed request lacked. It is more precise than a Kind, which
// decides the status: several causes share a Kind. Causes are values of a log field and of a
// metric label and do not change.
type Cause string

// Causes of refused and failed requests.
const (
	// CauseRights means that too few prepaid tokens were free.
	CauseRights Cause = "rights"
	// CauseQueue means that a queue was full, or that the estimate of its wait was too long.
	CauseQueue Cause = "queue"
	// CauseDeadline means that the deadline of the request passed.
	CauseDeadline Cause = "deadline"
	// CauseLimit means that all endpoints that could serve the request had paused or limited
	// what they accept from the instances.
	CauseLimit Cause = "limit"
	// CauseRetryBudget means that the retry budget of the service was spent.
	CauseRetryBudget Cause = "retry-budget"
	// CauseNoEndpoint means that no endpoint could be used or reached.
	CauseNoEndpoint Cause = "no-endpoint"
	// CauseMemory means that the memory that requests may hold was in use.
	CauseMemory Cause = "memory"
	// CauseRequest means that the request itself was at fault: its form, size, route or key.
	CauseRequest Cause = "request"
	// CauseStopping means that the instance was stopping.
	CauseStopping Cause = "stopping"
	// CauseNotReady means that the instance did not yet know what it needs to decide.
	CauseNotReady Cause = "not-ready"
	// CauseQuarantine means that equal requests had crashed endpoints.
	CauseQuarantine Cause = "quarantine"
	// CauseEndpoint means that an endpoint failed while it may have run the request.
	CauseEndpoint Cause = "endpoint"
	// CauseCaller means that the caller had left.
	CauseCaller Cause = "caller"
	// CauseOther is the cause of errors that no other cause describes.
	CauseOther Cause = "other"
)

// causeByKind holds the cause of errors that name none.
var causeByKind = map[Kind]Cause{
	Invalid:         CauseRequest,
	TooLarge:        CauseRequest,
	Slow:            CauseRequest,
	Unauthorized:    CauseRequest,
	NotFound:        CauseRequest,
	BudgetExhausted: CauseRights,
	Limited:         CauseLimit,
	Quarantined:     CauseQuarantine,
	NoEndpoint:      CauseNoEndpoint,
	Truncated:       CauseEndpoint,
	EndpointFailed:  CauseEndpoint,
	Timeout:         CauseDeadline,
	NotReady:        CauseNotReady,
}

// WithCause returns a copy of e with the given cause.
func (e *Error) WithCause(cause Cause) *Error {
	copied := *e
	copied.Cause = cause
	return &copied
}

// CauseOf returns the cause of the first typed error in the chain of err, or that of its kind
// if it names none. It returns "" for nil.
func CauseOf(err error) Cause {
	e := From(err)
	if e == nil {
		return ""
	}
	if e.Cause != "" {
		return e.Cause
	}
	if cause, ok := causeByKind[e.Kind]; ok {
		return cause
	}
	return CauseOther
}
