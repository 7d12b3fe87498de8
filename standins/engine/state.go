package engine

import (
	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// DesiredState is the part of the state that orders set.
type DesiredState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// State is what the engine runs.
type State struct {
	DesiredState
	// Fencing is the number of the latest order.
	Fencing uint64 `json:"fencing"`
}

// Order asks the engine to run another state.
type Order struct {
	Fencing uint64       `json:"fencing"`
	Orderer string       `json:"orderer"`
	State   DesiredState `json:"state"`
}

func (e *Engine) getState(ctx iris.Context) {
	e.mu.Lock()
	s := e.state
	e.mu.Unlock()
	endpoint.WriteJSON(ctx, iris.StatusOK, s)
}

func (e *Engine) order(ctx iris.Context) {
	var o Order
	if !endpoint.ReadJSON(ctx, &o) {
		return
	}
	ignore := e.Faults().IgnoreFencing
	e.mu.Lock()
	refused := o.Fencing < e.state.Fencing && !ignore
	if !refused {
		if o.State.Adapters == nil {
			o.State.Adapters = []string{}
		}
		e.state = State{DesiredState: o.State, Fencing: o.Fencing}
		e.orders++
	}
	s := e.state
	e.mu.Unlock()
	if refused {
		endpoint.WriteJSON(ctx, iris.StatusConflict, iris.Map{"fencing": s.Fencing})
		return
	}
	endpoint.WriteJSON(ctx, iris.StatusOK, s)
}
