package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	streamIDHeader = "X-Stream-Id"
	priorityHeader = "X-Priority"
	resumeHeader   = "X-Resume-After"

	// maxBarren is the number of consecutive connections without a new event
	// after which the endpoint is given up: the first one and its replacement.
	maxBarren = 2
	// maxResumes bounds the connections of one attempt, for an endpoint that
	// breaks each of them after one event.
	maxResumes = 8
	// linger is the wait for the end of a response after its terminal marker,
	// which usually arrives with it and lets the connection be used again.
	linger = 20 * time.Millisecond
)

// ModelCall is one attempt of a model request.
type ModelCall struct {
	Service  config.Service
	Endpoint config.Endpoint
	// StreamID names the attempt at the engine. No other attempt has the same.
	StreamID  string
	RequestID string
	// Priority is 0 (high), 1 (normal) or 2 (low).
	Priority int
	// Body is the JSON request with "stream": true.
	Body []byte
	// MaxTokens is the number of output tokens after which the stream is
	// cancelled.
	MaxTokens int64
	// OnEvent takes the chunks in order, without the terminal marker. An error
	// means that the caller has left.
	OnEvent func(seq uint64, data []byte) error
}

// stopError ends an attempt for a reason that is not the endpoint's.
type stopError struct{ err *failure.Error }

func (e *stopError) Error() string { return e.err.Error() }

// refusal ends an attempt because of an answer that a resume cannot change.
type refusal struct {
	err     *failure.Error
	unknown bool // the engine does not know the stream any more
}

func (e *refusal) Error() string { return e.err.Error() }

// stream is the state of one attempt across its connections.
type stream struct {
	client  *Client
	call    *ModelCall
	sent    atomic.Bool
	began   time.Time
	seq     sequencer
	usage   *Usage
	content int64 // events with content, each of which is at least one token
	res     Result
}

// SendModel makes one attempt. ctx ends with the deadline of the request or when
// its caller leaves; the engine's work is then cancelled.
func (c *Client) SendModel(ctx context.Context, call ModelCall) Result {
	s := &stream{client: c, call: &call, began: time.Now()}
	cause := s.run(ctx)
	if cause == nil {
		s.res.Outcome, s.res.Usage = Complete, *s.usage
		return s.res
	}
	s.fail(ctx, cause)
	return s.res
}

// run opens connections until the stream is complete or cannot be resumed.
func (s *stream) run(ctx context.Context) error {
	for barren := 0; ; {
		before := s.seq.last
		err := s.connection(ctx)
		if err == nil || final(err) {
			return err
		}
		if ctx.Err() != nil {
			return &stopError{ended(ctx)}
		}
		// A process that died has lost the stream, and a new one would run the
		// request from its start.
		s.client.noteDeath(ctx, &s.res, s.call.Endpoint, config.ModelService, err)
		if barren++; s.seq.last > before {
			barren = 0
		}
		if s.res.EndpointDied || refused(err) || barren >= maxBarren || s.res.Reconnects >= maxResumes {
			return err
		}
		s.res.Reconnects++
	}
}

func final(err error) bool {
	var stop *stopError
	var refusal *refusal
	return errors.As(err, &stop) || errors.As(err, &refusal)
}

// ended returns the failure of a request whose context has ended.
func ended(ctx context.Context) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.New(failure.Timeout, "allow more time", "the deadline passed before the endpoint finished")
	}
	return callerLeft()
}

func callerLeft() *failure.Error {
	return failure.New(failure.Truncated, "repeat the request", "the caller left before the end of the answer")
}

// connection reads events of one connection. It returns nil when the stream is
// complete.
func (s *stream) connection(ctx context.Context) error {
	ctx, dog := watch(ctx, orDefault(s.call.Service.FirstByteTimeout, defaultFirstByte))
	defer dog.close()
	err := s.read(ctx, dog)
	if err != nil && errors.Is(context.Cause(ctx), errSilent) && !final(err) {
		return errSilent
	}
	return err
}

func (s *stream) read(ctx context.Context, dog *watchdog) error {
	resp, err := s.open(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.client.noteDraining(s.call.Endpoint.ID, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return s.refusal(resp)
	}
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if err != nil {
			return errors.Join(errShort, err)
		}
		dog.pause()
		complete, err := s.take(e)
		if err != nil {
			return err
		}
		if complete {
			dog.feed(linger)
			_, _ = events.next() // reads to the end of the body, which frees the connection
			return nil
		}
		dog.feed(orDefault(s.call.Service.IdleTimeout, defaultIdle))
	}
}

// open sends the request. All but the first use a new connection, because the
// pooled ones may have gone silent together.
func (s *stream) open(ctx context.Context) (*http.Response, error) {
	url := baseURL(s.call.Endpoint.Address) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(traceSent(ctx, &s.sent), http.MethodPost, url, bytes.NewReader(s.call.Body))
	if err != nil {
		return nil, &refusal{err: failure.New(failure.EndpointFailed, "correct the endpoint's address in the configuration",
			"endpoint %q has a malformed address", s.call.Endpoint.ID)}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(clientHeader, s.client.opts.Instance)
	req.Header.Set(requestIDHeader, s.call.RequestID)
	req.Header.Set(streamIDHeader, s.call.StreamID)
	req.Header.Set(priorityHeader, strconv.Itoa(s.call.Priority))
	if s.seq.last > 0 {
		req.Header.Set(resumeHeader, strconv.FormatUint(s.seq.last, 10))
	}
	transport := s.client.pooled
	if s.res.Reconnects > 0 {
		transport = s.client.fresh
	}
	return transport.RoundTrip(req)
}
