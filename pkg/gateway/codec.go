package gateway

import (
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// Envelope is the metadata that a caller sends in the header of its request.
type Envelope struct {
	// ID identifies the request. A caller that retries sends a new ID.
	ID string
	// Timeout is how long the caller waits for the response, 0 if it gives no
	// limit.
	Timeout time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// Metered means that the request is charged for PromptTokens and for the
	// generated tokens, up to MaxOutput tokens.
	Metered                 bool
	PromptTokens, MaxOutput rights.Tokens
	// PromptParts are the parts of the prompt in order, empty if they are not
	// known.
	PromptParts []placement.Part
	// ResumeAfter is the ID of the last event that the caller has, empty if none.
	ResumeAfter string
	// Resumes is the ID of the caller's request that brought the first event of the stream
	// which ResumeAfter continues, empty if it names none.
	Resumes string
}

// AttemptMetadata is the metadata that an endpoint gets in addition to the header
// of the caller.
type AttemptMetadata struct {
	// Timeout is the remaining time until the deadline of the request.
	Timeout time.Duration
	// Endpoint is the ID of the chosen endpoint. No other process may run the
	// request.
	Endpoint string
	// Workspace is the name of the caller's workspace, empty on public routes.
	Workspace string
	// Priority orders requests at an engine, 0 being the most urgent. It is
	// negative if the request has none.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has, empty if none.
	ResumeAfter string
}

// Notice is what an endpoint says about itself in a response.
type Notice struct {
	// IsLeaving means that the endpoint is shutting down and wants no further requests.
	IsLeaving bool
	// Pause is how long the endpoint wants no requests from this instance, 0 if it does
	// not say so.
	Pause time.Duration
	// IsLimited means that the endpoint names a limit on its requests. RateLimit is the
	// number of requests per second that it takes from all instances together, or
	// UnknownRate.
	IsLimited bool
	RateLimit float64
}

// UnknownRate is the RateLimit of an endpoint that names a limit which cannot be read.
const UnknownRate = -1

// Codec translates between header fields and the types of this package.
type Codec interface {
	// Decode reads the envelope of a request. It fails with failure.Invalid if a
	// header field is malformed.
	Decode(r *http.Request) (Envelope, error)
	// EncodeHeader returns the header of the request to an endpoint. It does not
	// change caller.
	EncodeHeader(caller http.Header, meta AttemptMetadata) http.Header
	// FilterResponseHeader returns the header of a response without the fields that
	// concern only the connection to the endpoint.
	FilterResponseHeader(response http.Header) http.Header
	// IsResponseTo reports whether a response belongs to the request with the given
	// ID. reused is set if its connection has carried an earlier request.
	IsResponseTo(response http.Header, id string, reused bool) bool
	// IsRejected reports whether the endpoint declares that it did not run the
	// request, and whether it did so because another process now has the address.
	IsRejected(status int, response http.Header) (rejected, moved bool)
	// MeansNotRun reports whether callers take a status to mean that the request did not
	// run and will not run.
	MeansNotRun(status int) bool
	// IsEventField reports whether events of a stream may have a field with the given name
	// besides those of the event stream format.
	IsEventField(name string) bool
	// DecodeNotice returns what the endpoint says about itself in a response.
	DecodeNotice(status int, response http.Header) Notice
	// IsGenuine reports whether a successful response carries the marks of the
	// endpoint that ran the request.
	IsGenuine(response http.Header) bool
	// WriteError answers a request with an error of this instance. A positive
	// retryAfter tells the caller when to retry. It returns the status.
	WriteError(w http.ResponseWriter, err *failure.Error, retryAfter time.Duration) (status int)
}
