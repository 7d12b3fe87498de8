package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// Options of an engine.
type Options struct {
	ID    string
	Model string
	// Slots bounds the requests that generate at the same time.
	Slots         int
	TokenInterval time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// IgnoreFencing accepts orders with an old fencing number.
	IgnoreFencing bool
	// OnCrash is called when a request crashes the engine; nil closes its listener
	// and connections.
	OnCrash func()
}

const (
	defaultSlots  = 8
	keepFinished  = time.Minute // docs/protocols.md
	classes       = 3           // of X-Priority
	defaultClass  = 1
	maxLoadRecord = 4096 // changes kept for the lagging report
)

// Engine is a model engine.
type Engine struct {
	*endpoint.Server
	opts Options

	mu       sync.Mutex
	streams  map[string]*stream
	free     int
	waiting  [classes][]chan struct{}
	running  int
	loads    []loadRecord // oldest first
	state    State
	orders   int
	finished int
	cancels  int
	active   sync.WaitGroup // generations
	closed   bool
}

// New returns an engine.
func New(o Options) *Engine {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	e := &Engine{opts: o, streams: map[string]*stream{}, free: o.Slots}
	e.state = State{DesiredState: DesiredState{Model: o.Model, Adapters: []string{}}}
	e.Server = endpoint.NewServer(o.ID, o.OnCrash, e.stats)
	e.SetFaults(endpoint.Faults{IgnoreFencing: o.IgnoreFencing})
	e.loads = []loadRecord{{at: time.Now()}}
	e.App.Post("/v1/chat/completions", e.completions)
	e.App.Delete("/v1/streams/{id:string}", e.cancelStream)
	e.App.Get("/v1/load", func(ctx iris.Context) { endpoint.WriteJSON(ctx, iris.StatusOK, e.load(time.Now())) })
	e.App.Get("/v1/state", e.getState)
	e.App.Post("/v1/orders", e.order)
	return e
}

// Run serves on l until Close is called or ctx ends. It returns after the last
// generation has ended.
func (e *Engine) Run(ctx context.Context, l net.Listener) error {
	err := e.Server.Run(ctx, l)
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.active.Wait()
	return err
}

func (e *Engine) stats() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return iris.Map{
		"executions": e.TotalExecutions(), "finished": e.finished, "cancelled": e.cancels, "orders": e.orders,
		"running": e.running, "queued": e.queued(),
	}
}

// LoadReport is the load report.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// AsOfMS is when the load was measured, in milliseconds since 1970.
	AsOfMS      int64  `json:"as_of_ms"`
	Draining    bool   `json:"draining"`
	Incarnation string `json:"incarnation"`
}

type loadRecord struct {
	at              time.Time
	running, queued int
}

func (e *Engine) queued() int {
	n := 0
	for _, q := range e.waiting {
		n += len(q)
	}
	return n
}

// recordLoad is called with the mutex held after each change.
func (e *Engine) recordLoad() {
	if len(e.loads) >= maxLoadRecord {
		e.loads = append(e.loads[:0], e.loads[len(e.loads)/2:]...)
	}
	e.loads = append(e.loads, loadRecord{time.Now(), e.running, e.queued()})
}

// load reports the load as it was LoadLag ago.
func (e *Engine) load(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := now.Add(-e.opts.LoadLag)
	for len(e.loads) > 1 && !e.loads[1].at.After(asOf) {
		e.loads = e.loads[1:]
	}
	r := e.loads[0]
	if asOf.Before(r.at) {
		asOf = r.at
	}
	return LoadReport{r.running, r.queued, asOf.UnixMilli(), e.Faults().Draining, e.Incarnation}
}

// acquire waits for a slot in order of class and arrival.
func (e *Engine) acquire(ctx context.Context, class int) bool {
	e.mu.Lock()
	if e.free > 0 {
		e.free--
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	e.waiting[class] = append(e.waiting[class], turn)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range e.waiting[class] {
		if c == turn {
			e.waiting[class] = append(e.waiting[class][:i], e.waiting[class][i+1:]...)
			e.recordLoad()
			return false
		}
	}
	e.releaseLocked() // the slot arrived at the same moment
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *Engine) releaseLocked() {
	defer e.recordLoad()
	for class, q := range e.waiting {
		if len(q) > 0 {
			e.waiting[class] = q[1:]
			close(q[0])
			return
		}
	}
	e.free++
	e.running--
}
