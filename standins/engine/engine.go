package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// Options configure an Engine.
type Options struct {
	ID    string // endpoint id
	Model string // model that is loaded at the start
	// Slots is the maximum number of concurrent generations; 0 means 8.
	Slots int
	// TokenInterval is the time between two tokens of a generation.
	TokenInterval time.Duration
	// LoadLag is the age of the load in a LoadReport.
	LoadLag time.Duration
	// IgnoreFencing accepts orders with a stale fencing token.
	IgnoreFencing bool
	// OnCrash is called when a request crashes the engine, before its listener and
	// connections are closed. It can be nil.
	OnCrash func()
}

const (
	defaultSlots         = 8
	finishedTTL          = time.Minute // see docs/protocols.md
	priorityClasses      = 3           // values of X-Priority, 0 is the highest
	defaultPriorityClass = 1
	maxLoadRecords       = 4096 // load changes kept for LoadLag
)

// Engine is the stand-in for a model engine.
type Engine struct {
	*endpoint.Server
	opts Options

	mu          sync.Mutex
	streams     map[string]*stream
	free        int                              // slots
	waiting     [priorityClasses][]chan struct{} // requests without a slot by class, oldest first; closed when one is granted
	running     int                              // requests with a slot
	loadHistory []loadRecord                     // oldest first
	state       State
	orders      int // accepted orders
	finished    int
	cancelled   int
	generations sync.WaitGroup
	closed      bool
}

// New returns an engine; Run serves it.
func New(o Options) *Engine {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	e := &Engine{opts: o, streams: map[string]*stream{}, free: o.Slots}
	e.state = State{DesiredState: DesiredState{Model: o.Model, Adapters: []string{}}}
	e.Server = endpoint.NewServer(o.ID, o.OnCrash, e.stats)
	e.SetFaults(endpoint.Faults{IgnoreFencing: o.IgnoreFencing})
	e.loadHistory = []loadRecord{{at: time.Now()}}
	e.App.Post("/v1/chat/completions", e.handleCompletion)
	e.App.Delete("/v1/streams/{id:string}", e.cancelStream)
	e.App.Get("/v1/load", func(ctx iris.Context) { endpoint.WriteJSON(ctx, iris.StatusOK, e.loadReport(time.Now())) })
	e.App.Get("/v1/state", e.getState)
	e.App.Post("/v1/orders", e.handleOrder)
	return e
}

// Run serves on l until Close is called or ctx ends. It returns after the last
// generation has ended.
func (e *Engine) Run(ctx context.Context, l net.Listener) error {
	err := e.Server.Run(ctx, l)
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.generations.Wait()
	return err
}

func (e *Engine) stats() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return iris.Map{
		"executions": e.TotalExecutions(), "finished": e.finished, "cancelled": e.cancelled, "orders": e.orders,
		"running": e.running, "queued": e.queueLength(),
	}
}

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	// Running is the number of requests that hold a slot.
	Running int `json:"running"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// AsOfMS is the time of the measurement in milliseconds since 1970.
	AsOfMS      int64  `json:"as_of_ms"`
	Draining    bool   `json:"draining"`
	Incarnation string `json:"incarnation"`
}

// loadRecord is the load from a point in time on.
type loadRecord struct {
	at              time.Time
	running, queued int
}

func (e *Engine) queueLength() int {
	n := 0
	for _, q := range e.waiting {
		n += len(q)
	}
	return n
}

// recordLoad appends the current load to the history. It is called after each
// change, with the mutex held.
func (e *Engine) recordLoad() {
	if len(e.loadHistory) >= maxLoadRecords {
		e.loadHistory = append(e.loadHistory[:0], e.loadHistory[len(e.loadHistory)/2:]...)
	}
	e.loadHistory = append(e.loadHistory, loadRecord{time.Now(), e.running, e.queueLength()})
}

// loadReport returns the load at the time LoadLag before now.
func (e *Engine) loadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := now.Add(-e.opts.LoadLag)
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(asOf) {
		e.loadHistory = e.loadHistory[1:]
	}
	r := e.loadHistory[0]
	if asOf.Before(r.at) {
		asOf = r.at
	}
	return LoadReport{r.running, r.queued, asOf.UnixMilli(), e.Faults().Draining, e.Incarnation}
}

// acquireSlot waits for a slot; requests get one in order of priority class and
// arrival. It returns false when ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, class int) bool {
	e.mu.Lock()
	if e.free > 0 {
		e.free--
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	e.waiting[class] = append(e.waiting[class], granted)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range e.waiting[class] {
		if c == granted {
			e.waiting[class] = append(e.waiting[class][:i], e.waiting[class][i+1:]...)
			e.recordLoad()
			return false
		}
	}
	e.releaseSlotLocked() // the slot was granted when ctx had ended
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

// releaseSlotLocked passes the slot to the next waiting request or frees it.
func (e *Engine) releaseSlotLocked() {
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
