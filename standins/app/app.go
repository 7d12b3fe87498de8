package app

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// Options of an app server.
type Options struct {
	ID string
	// OnCrash is called when a request crashes the app; nil closes its listener
	// and connections.
	OnCrash func()
}

// App is an app server.
type App struct {
	*endpoint.Server
	id string
}

// Answer is the body of each answer of the app.
type Answer struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Digest is a hash of the request body.
	Digest string `json:"digest"`
	// Record is filler; its length is the query parameter "size".
	Record string `json:"record,omitempty"`
}

const maxRecordBytes = 8 << 20 // bounds what one query parameter makes the app allocate

// New returns an app server.
func New(o Options) *App {
	a := &App{id: o.ID}
	a.Server = endpoint.NewServer(o.ID, o.OnCrash, func() any { return iris.Map{"executions": a.TotalExecutions()} })
	a.App.Get("/healthz", func(ctx iris.Context) {
		endpoint.WriteJSON(ctx, iris.StatusOK, iris.Map{"draining": a.Faults().Draining, "incarnation": a.Incarnation})
	})
	a.App.Any("/{path:path}", a.call)
	return a
}

// Run serves on l until Close is called or ctx ends.
func (a *App) Run(ctx context.Context, l net.Listener) error { return a.Server.Run(ctx, l) }

func (a *App) call(ctx iris.Context) {
	body, ok := a.ReadBody(ctx)
	if !ok {
		return
	}
	id := ctx.GetHeader("X-Request-Id")
	a.RecordExecution(id)
	if !a.Sleep(ctx.Request().Context(), time.Duration(a.Faults().DelayMS)*time.Millisecond) {
		return
	}
	a.Interrupt(ctx, a.TakeInterruption(0))
	size := min(max(ctx.URLParamIntDefault("size", 0), 0), maxRecordBytes)
	answer, _ := json.Marshal(Answer{ // strings always encode
		Endpoint: a.id, RequestID: id, Method: ctx.Method(), Path: ctx.Path(),
		Digest: digest(body), Record: strings.Repeat("x", size),
	})
	ctx.ContentType("application/json")
	ctx.Header("Content-Length", strconv.Itoa(len(answer)))
	a.send(ctx, answer)
}

// send writes the answer up to the byte after which it breaks off.
func (a *App) send(ctx iris.Context, answer []byte) {
	end := len(answer)
	for _, after := range []int{a.Faults().SilentAfter, a.Faults().CutAfter} {
		if after > 0 {
			end = min(end, after)
		}
	}
	if _, err := ctx.ResponseWriter().Write(answer[:end]); err != nil {
		return
	}
	if end < len(answer) {
		a.Interrupt(ctx, a.TakeInterruption(end))
		_, _ = ctx.ResponseWriter().Write(answer[end:]) // another answer took the break; a failed write means that the client has left
	}
}

func digest(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}
