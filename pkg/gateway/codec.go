package gateway

import (
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// Envelope is what a caller says of its request beside method, target and body.
type Envelope struct {
	// ID is new for each attempt of a caller.
	ID string
	// Timeout is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// Metered requests are charged: PromptTokens once and the generated tokens up
	// to MaxOutput.
	Metered                 bool
	PromptTokens, MaxOutput rights.Tokens
	PromptParts             []placement.Part
	// ResumeAfter is the last event that the caller has, empty if none.
	ResumeAfter string
}

// AttemptMetadata is what an endpoint is told beside the caller's own header.
type AttemptMetadata struct {
	// Timeout is the time that is left.
	Timeout time.Duration
	// Endpoint is the only process that may run the request.
	Endpoint  string
	Workspace string
	// Priority ranks requests at an engine; 0 goes first, negative leaves it out.
	Priority    int
	ResumeAfter string
}

// Codec translates between header fields and the types of this package.
type Codec interface {
	// Decode reads the envelope of a request; an error is the caller's fault.
	Decode(r *http.Request) (Envelope, error)
	// EncodeHeader returns the header of the request to an endpoint.
	EncodeHeader(caller http.Header, o AttemptMetadata) http.Header
	// FilterResponseHeader returns the header of an answer without what concerns only the
	// connection to the endpoint.
	FilterResponseHeader(answer http.Header) http.Header
	// IsResponseTo reports whether an answer belongs to the request with this id.
	IsResponseTo(answer http.Header, id string) bool
	// IsRejected reports whether the endpoint says that it did not run the request,
	// and whether that is because another process has the address.
	IsRejected(status int, answer http.Header) (rejected, moved bool)
	// IsGenuine reports whether an endpoint vouches for a success.
	IsGenuine(answer http.Header) bool
	// WriteError answers a request in the name of this instance. A positive after
	// tells when to come back.
	WriteError(w http.ResponseWriter, err *failure.Error, after time.Duration)
}
