package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/burn"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Methods of operators' queries between instances.
const (
	methodStatus peer.Method = "fleet.status"
	methodStop   peer.Method = "fleet.stop"
	// methodCharges asks for the exact charges of some budgets.
	methodCharges peer.Method = "fleet.charges"
)

// fleetTimeout bounds the wait for each instance of a query.
const fleetTimeout = 2 * time.Second

// instanceReport is what one instance says about itself.
type instanceReport struct {
	Status   operator.InstanceStatus     `cbor:"1,keyasint"`
	Running  []operator.RunningRequest   `cbor:"2,keyasint"`
	Draining []operator.DrainingEndpoint `cbor:"3,keyasint"`
	Burn     burn.Report                 `cbor:"4,keyasint"`
}

// backend implements the operators' API: the store-backed part and the queries
// that ask all instances.
type backend struct {
	*operator.StoreBackend
	d *Daemon
}

var _ operator.Backend = (*backend)(nil)

func (d *Daemon) registerFleet(reg peer.Registrar) {
	reg.Handle(methodStatus, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		return d.instanceReport(ctx)
	})
	reg.Handle(methodCharges, d.handleCharges)
	reg.Handle(methodStop, func(context.Context, peer.Identity, []byte) (any, error) {
		d.stop()
		return operator.StopResult{}, nil
	})
}

func (d *Daemon) instanceReport(ctx context.Context) (instanceReport, error) {
	shards, err := d.manager.Status(ctx)
	if err != nil {
		return instanceReport{}, err
	}
	r := instanceReport{Running: running(shards.Running, time.Now()), Status: operator.InstanceStatus{
		ID: d.self.Instance, Domain: d.self.Domain, Address: d.self.Address, Generation: d.replica.Generation(),
		Ready: d.ready() == nil, Stopping: d.stopping.Load(), Running: d.entry.InFlight(), Answered: true,
	}, Burn: d.burn.Report(time.Now())}
	for _, v := range d.pool.View() {
		if len(v.Drains) == 0 {
			continue
		}
		e := operator.DrainingEndpoint{Endpoint: v.Endpoint.ID, Service: v.Service, Running: v.InFlight}
		for _, source := range v.Drains {
			e.Reasons = append(e.Reasons, source.String())
		}
		r.Draining = append(r.Draining, e)
	}
	return r, nil
}

// running ages requests by the owner's own clock.
func running(all []ledger.RequestStatus, now time.Time) []operator.RunningRequest {
	var out []operator.RunningRequest
	for _, s := range all {
		out = append(out, operator.RunningRequest{
			ID: s.ID, Dispatcher: s.Dispatcher, Budget: s.Budget, Service: s.Service, Reserved: s.Reserved,
			Age: now.Sub(time.UnixMilli(s.UpdatedAtMillis)),
		})
	}
	return out
}

// ask collects the reports of all known instances. Those that do not answer are
// returned with Answered false.
func (d *Daemon) ask(ctx context.Context) []instanceReport {
	targets := d.targets(ctx)
	reports := make([]instanceReport, len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() {
			reports[i] = d.askOne(ctx, t)
		})
	}
	wg.Wait()
	slices.SortFunc(reports, func(a, b instanceReport) int { return cmp.Compare(a.Status.ID, b.Status.ID) })
	return reports
}

func (d *Daemon) askOne(ctx context.Context, t kvstore.Instance) instanceReport {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var r instanceReport
	var err error
	if t.ID == d.self.Instance {
		r, err = d.instanceReport(ctx)
	} else {
		err = d.transport.Call(ctx, t.Address, methodStatus, struct{}{}, &r)
	}
	if err != nil {
		return instanceReport{Status: operator.InstanceStatus{ID: t.ID, Domain: t.Domain, Address: t.Address}}
	}
	return r
}

// targets returns the instances that are alive or in the platform's list.
func (d *Daemon) targets(ctx context.Context) []kvstore.Instance {
	byID := map[string]kvstore.Instance{d.self.Instance: {ID: d.self.Instance, Domain: d.self.Domain, Address: d.self.Address}}
	for _, id := range d.everyone() {
		byID[id.Instance] = kvstore.Instance{ID: id.Instance, Domain: id.Domain, Address: id.Address}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	listed, _ := d.store.Instances(ctx, kvstore.EntryService) // without the list the live ones are asked
	for _, i := range listed {
		if _, known := byID[i.ID]; !known {
			byID[i.ID] = i
		}
	}
	out := make([]kvstore.Instance, 0, len(byID))
	for _, i := range byID {
		out = append(out, i)
	}
	return out
}

func silent(reports []instanceReport) []string {
	var out []string
	for _, r := range reports {
		if !r.Status.Answered {
			out = append(out, r.Status.ID)
		}
	}
	return out
}

// Instances returns the status of each instance.
func (b *backend) Instances(ctx context.Context) (operator.InstancesReport, error) {
	var out operator.InstancesReport
	for _, r := range b.d.ask(ctx) {
		out.Instances = append(out.Instances, r.Status)
	}
	return out, nil
}

// Running returns the requests in flight, as the owners of the shards know them.
func (b *backend) Running(ctx context.Context) (operator.RunningReport, error) {
	reports := b.d.ask(ctx)
	out := operator.RunningReport{Silent: silent(reports)}
	for _, r := range reports {
		out.Requests = append(out.Requests, r.Running...)
	}
	slices.SortFunc(out.Requests, func(a, b operator.RunningRequest) int { return cmp.Compare(b.Age, a.Age) })
	return out, nil
}

// Burn returns the use of the error budgets.
func (b *backend) Burn(ctx context.Context) (operator.BurnReport, error) {
	reports := b.d.ask(ctx)
	var parts []burn.Report
	for _, r := range reports {
		parts = append(parts, r.Burn)
	}
	return operator.BurnReport{Report: burn.Merge(parts...), Silent: silent(reports)}, nil
}

// Draining returns the endpoints and instances that take no new work.
func (b *backend) Draining(ctx context.Context) (operator.DrainingReport, error) {
	reports := b.d.ask(ctx)
	out := operator.DrainingReport{Silent: silent(reports)}
	byID := map[string]*operator.DrainingEndpoint{}
	for _, r := range reports {
		if r.Status.Stopping {
			out.Instances = append(out.Instances, r.Status.ID)
		}
		for _, e := range r.Draining {
			merge(byID, e)
		}
	}
	for _, e := range byID {
		out.Endpoints = append(out.Endpoints, *e)
	}
	slices.SortFunc(out.Endpoints, func(a, b operator.DrainingEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out, nil
}

func merge(byID map[string]*operator.DrainingEndpoint, e operator.DrainingEndpoint) {
	known := byID[e.Endpoint]
	if known == nil {
		byID[e.Endpoint] = &e
		return
	}
	known.Running += e.Running
	for _, reason := range e.Reasons {
		if !slices.Contains(known.Reasons, reason) {
			known.Reasons = append(known.Reasons, reason)
		}
	}
}

// Stop asks an instance to stop gracefully.
func (b *backend) Stop(ctx context.Context, by operator.Issuer, req operator.StopRequest) (operator.StopResult, error) {
	b.d.log.WithField("operator", by.Operator).WithField("instance", req.Instance).Info("stop requested")
	for _, t := range b.d.targets(ctx) {
		if t.ID != req.Instance {
			continue
		}
		status := b.d.askOne(ctx, t).Status
		if t.ID == b.d.self.Instance {
			b.d.stop()
			return operator.StopResult{Running: status.Running}, nil
		}
		err := b.d.transport.Call(ctx, t.Address, methodStop, struct{}{}, nil)
		return operator.StopResult{Running: status.Running}, err
	}
	return operator.StopResult{}, failure.New(failure.NotFound, "list the instances with the query instances", "instance %q is not known", req.Instance)
}
