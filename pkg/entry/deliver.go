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

// sendModel makes one attempt of a model request.
func (d *dispatch) sendModel(ctx context.Context, ep config.Endpoint) relay.Result {
	var builder completionBuilder
	d.endpointID = ep.ID
	res := d.server.opts.Relay.SendModel(ctx, relay.ModelCall{
		Service: d.job.service, Endpoint: ep, RequestID: d.job.id,
		StreamID: fmt.Sprintf("%s-%d-%d", d.job.id, d.entry.attempt, d.attemptCount),
		Priority: int(d.job.priority), Body: d.job.body, MaxTokens: d.job.maxTokens, KeepsContent: !d.job.stream,
		OnEvent: func(seq uint64, data []byte) error {
			d.job.timing.recordPart(d.server.now())
			if !d.job.stream {
				return builder.addChunk(data)
			}
			return d.writeEvent(seq, data)
		},
	})
	if res.Outcome != relay.Complete {
		return res
	}
	if d.job.stream {
		_ = d.write(doneEvent) // the request is complete even if the caller has disconnected
		return res
	}
	body := builder.encode(res.Usage)
	d.writeHeader(http.StatusOK, contentTypeHeader("application/json"), len(body))
	_ = d.write(body)
	return res
}

// writeEvent writes one chunk of a stream.
func (d *dispatch) writeEvent(seq uint64, data []byte) error {
	if !d.job.responder.headerSent {
		d.writeHeader(http.StatusOK, contentTypeHeader(eventStreamType), -1)
	}
	data = bytes.ReplaceAll(data, []byte("\n"), []byte(" ")) // a line break is white space in JSON, but would end the data line of the event
	return d.write(fmt.Appendf(make([]byte, 0, len(data)+40), "id: %d\ndata: %s\n\n", seq, data))
}

func (d *dispatch) writeHeader(status int, header http.Header, length int) {
	if d.job.callerKnowsID {
		d.entry.answer.setHeader(status, header.Get("Content-Type"), d.server.opts.Relay.Budget().Open(d.endpointID))
	}
	d.job.responder.writeHeader(status, header, length)
}

// write sends a part of the answer to the caller and keeps it for repeats. It
// fails when the caller has disconnected and the attempt need not go on.
func (d *dispatch) write(part []byte) error {
	if d.job.callerKnowsID {
		d.entry.answer.append(part)
	}
	if d.callerDisconnected {
		return nil
	}
	_, err := d.job.responder.Write(part)
	if err != nil && d.shouldOutliveCaller() {
		d.callerDisconnected = true
		return nil
	}
	return err
}

// sendApp makes one attempt of an app request.
func (d *dispatch) sendApp(ctx context.Context, ep config.Endpoint) relay.Result {
	if !d.job.repeatable {
		d.maySend.Store(true)
		if ctx.Err() != nil { // the caller disconnected before maySend was set
			return relay.Result{Outcome: relay.NotSent, Err: callerLeftError()}
		}
	}
	d.endpointID = ep.ID
	res := d.server.opts.Relay.SendApp(ctx, relay.AppCall{
		Service: d.job.service, Endpoint: ep, RequestID: d.job.id, Repeatable: d.job.repeatable,
		Method: d.job.method, Path: d.job.path, Header: d.job.header, Body: d.job.body,
		AllowReconnect: func() bool { return d.server.retries.AllowRetry(d.server.now()) }, Sink: (*appSink)(d),
	})
	if res.Outcome == relay.NotSent {
		d.maySend.Store(false)
	}
	return res
}

// appSink writes an app's answer to the caller.
type appSink dispatch

var _ relay.AppSink = (*appSink)(nil)

func (a *appSink) Begin(status int, header http.Header, length int) error {
	d := (*dispatch)(a)
	d.job.timing.recordPart(d.server.now())
	d.writeHeader(status, header, length)
	return nil
}

func (a *appSink) Write(part []byte) (int, error) {
	if err := (*dispatch)(a).write(part); err != nil {
		return 0, err
	}
	return len(part), nil
}
