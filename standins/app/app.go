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

// Options configure an App.
type Options struct {
	ID string // endpoint id
	// OnCrash is called when a request crashes the app, before its listener and
	// connections are closed. It can be nil.
	OnCrash func()
}

// App is the stand-in for an app server.
type App struct {
	*endpoint.Server
	id string
}

// Answer is the body of each response of the app.
type Answer struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Digest is the FNV-1a hash of the request body in hexadecimal.
	Digest string `json:"digest"`
	// Record is padding; its length in bytes is the query parameter "size", at
	// most maxRecordBytes.
	Record string `json:"record,omitempty"`
}

// maxRecordBytes bounds the memory that the query parameter "size" can allocate.
const maxRecordBytes = 8 << 20

// New returns an app server; Run serves it.
func New(o Options) *App {
	a := &App{id: o.ID}
	a.Server = endpoint.NewServer(o.ID, o.OnCrash, func() any { return iris.Map{"executions": a.TotalExecutions()} })
	a.App.Get("/healthz", func(ctx iris.Context) {
		endpoint.WriteJSON(ctx, iris.StatusOK, iris.Map{"draining": a.Faults().Draining, "incarnation": a.Incarnation})
	})
	a.App.Any("/{path:path}", a.handleRequest)
	return a
}

// Run serves on l until Close is called or ctx ends.
func (a *App) Run(ctx context.Context, l net.Listener) error { return a.Server.Run(ctx, l) }

func (a *App) handleRequest(ctx iris.Context) {
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
	a.writeResponse(ctx, answer)
}

// writeResponse writes the body up to the byte at which the response is
// interrupted.
func (a *App) writeResponse(ctx iris.Context, answer []byte) {
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
		_, _ = ctx.ResponseWriter().Write(answer[end:]) // another response took the interruption; a write fails only when the client has disconnected
	}
}

func digest(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}
