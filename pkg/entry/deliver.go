package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/relay"
)

var doneEvent = []byte("data: [DONE]\n\n")

// sendModel makes one attempt at an engine.
func (d *dispatch) sendModel(ctx context.Context, ep config.Endpoint) relay.Result {
	var whole completion
	res := d.s.opts.Relay.SendModel(ctx, relay.ModelCall{
		Service: d.j.service, Endpoint: ep, RequestID: d.j.id,
		StreamID: fmt.Sprintf("%s-%d-%d", d.j.id, d.e.attempt, d.tries),
		Priority: int(d.j.priority), Body: d.j.body, MaxTokens: d.j.maxTokens,
		OnEvent: func(seq uint64, data []byte) error {
			d.j.timing.part(d.s.now())
			if !d.j.stream {
				return whole.add(data)
			}
			return d.event(seq, data)
		},
	})
	if res.Outcome != relay.Complete {
		return res
	}
	if d.j.stream {
		_ = d.write(doneEvent) // complete for the owner even if the caller has left
		return res
	}
	body := whole.encode(res.Usage)
	d.begin(http.StatusOK, contentType("application/json"), len(body))
	_ = d.write(body)
	return res
}

// event passes on one chunk of a stream.
func (d *dispatch) event(seq uint64, data []byte) error {
	if !d.j.out.begun {
		d.begin(http.StatusOK, contentType(eventStream), -1)
	}
	data = bytes.ReplaceAll(data, []byte("\n"), []byte(" ")) // a line break is white space in JSON and ends an event's line
	return d.write(fmt.Appendf(make([]byte, 0, len(data)+40), "id: %d\ndata: %s\n\n", seq, data))
}

func (d *dispatch) begin(status int, header http.Header, length int) {
	if d.j.known {
		d.e.answer.begin(status, header.Get("Content-Type"))
	}
	d.j.out.begin(status, header, length)
}

// write passes on a part of the answer. It fails when the caller has left and
// the work need not go on without it.
func (d *dispatch) write(part []byte) error {
	if d.j.known {
		d.e.answer.append(part)
	}
	if d.callerGone {
		return nil
	}
	_, err := d.j.out.Write(part)
	if err != nil && d.outlivesCaller() {
		d.callerGone = true
		return nil
	}
	return err
}

// sendApp makes one attempt at an app.
func (d *dispatch) sendApp(ctx context.Context, ep config.Endpoint) relay.Result {
	if !d.j.repeatable {
		d.sending.Store(true)
		if ctx.Err() != nil { // the caller left just before
			return relay.Result{Outcome: relay.NotSent, Err: callerLeft()}
		}
	}
	res := d.s.opts.Relay.SendApp(ctx, relay.AppCall{
		Service: d.j.service, Endpoint: ep, RequestID: d.j.id, Repeatable: d.j.repeatable,
		Method: d.j.method, Path: d.j.path, Header: d.j.header, Body: d.j.body,
		AllowReconnect: func() bool { return d.s.retries.AllowRetry(d.s.now()) }, Sink: (*appSink)(d),
	})
	if res.Outcome == relay.NotSent {
		d.sending.Store(false)
	}
	return res
}

// appSink passes an app's answer on.
type appSink dispatch

var _ relay.AppSink = (*appSink)(nil)

func (a *appSink) Begin(status int, header http.Header, length int) error {
	d := (*dispatch)(a)
	d.j.timing.part(d.s.now())
	d.begin(status, header, length)
	return nil
}

func (a *appSink) Write(part []byte) (int, error) {
	if err := (*dispatch)(a).write(part); err != nil {
		return 0, err
	}
	return len(part), nil
}
