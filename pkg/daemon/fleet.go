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

// Methods by which an instance answers the operators' API for the whole fleet.
const (
	// methodStatus returns an instanceReport.
	methodStatus peer.Method = "fleet.status"
	// methodStop starts a graceful stop.
	methodStop peer.Method = "fleet.stop"
	// methodCharges returns the exact charges of the budgets in a chargesRequest.
	methodCharges peer.Method = "fleet.charges"
)

// fleetCallTimeout bounds the wait for one instance's answer to a query, and for the
// platform's list of instances.
const fleetCallTimeout = 2 * time.Second

// instanceReport is the state of one instance, as it reports it.
type instanceReport struct {
	Status   operator.InstanceStatus     `cbor:"1,keyasint"`
	Running  []operator.RunningRequest   `cbor:"2,keyasint"`
	Draining []operator.DrainingEndpoint `cbor:"3,keyasint"`
	Burn     burn.Report                 `cbor:"4,keyasint"`
}

// backend implements operator.Backend: StoreBackend has the part that needs only the
// platform store, the daemon adds the queries to all instances.
type backend struct {
	*operator.StoreBackend
	daemon *Daemon
}

var _ operator.Backend = (*backend)(nil)

// registerFleetHandlers registers the handlers of the fleet methods.
func (d *Daemon) registerFleetHandlers(reg peer.Registrar) {
	reg.Handle(methodStatus, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		return d.buildInstanceReport(ctx)
	})
	reg.Handle(methodCharges, d.handleCharges)
	reg.Handle(methodStop, func(context.Context, peer.Identity, []byte) (any, error) {
		d.requestStop()
		return operator.StopResult{}, nil
	})
}

// buildInstanceReport returns the state of this instance, or an error if the shard
// manager does not answer before ctx ends.
func (d *Daemon) buildInstanceReport(ctx context.Context) (instanceReport, error) {
	shardStatus, err := d.shardManager.Status(ctx)
	if err != nil {
		return instanceReport{}, err
	}
	r := instanceReport{Running: runningRequests(shardStatus.Running, time.Now()), Status: operator.InstanceStatus{
		ID: d.self.Instance, Domain: d.self.Domain, Address: d.self.Address, Generation: d.configReplica.Generation(),
		Ready: d.checkReady() == nil, Stopping: d.stopping.Load(), Running: d.entry.InFlight(), Answered: true,
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

// runningRequests lists the requests in flight at the shards that this instance owns.
// Their ages compare times of the owner's clock only.
func runningRequests(statuses []ledger.RequestStatus, now time.Time) []operator.RunningRequest {
	var out []operator.RunningRequest
	for _, status := range statuses {
		out = append(out, operator.RunningRequest{
			ID: status.ID, Dispatcher: status.Dispatcher, Budget: status.Budget, Service: status.Service, Reserved: status.Reserved,
			Age: now.Sub(time.UnixMilli(status.UpdatedAtMillis)),
		})
	}
	return out
}

// collectReports returns the reports of all known instances, sorted by instance ID. An
// instance that does not answer has Answered false in its status.
func (d *Daemon) collectReports(ctx context.Context) []instanceReport {
	instances := d.knownInstances(ctx)
	reports := make([]instanceReport, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() {
			reports[i] = d.fetchReport(ctx, instance)
		})
	}
	wg.Wait()
	slices.SortFunc(reports, func(a, b instanceReport) int { return cmp.Compare(a.Status.ID, b.Status.ID) })
	return reports
}

// fetchReport returns the report of one instance. On an error only its ID, domain and
// address are set.
func (d *Daemon) fetchReport(ctx context.Context, instance kvstore.Instance) instanceReport {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	var r instanceReport
	var err error
	if instance.ID == d.self.Instance {
		r, err = d.buildInstanceReport(ctx)
	} else {
		err = d.transport.Call(ctx, instance.Address, methodStatus, struct{}{}, &r)
	}
	if err != nil {
		return instanceReport{Status: operator.InstanceStatus{ID: instance.ID, Domain: instance.Domain, Address: instance.Address}}
	}
	return r
}

// knownInstances returns this instance, the live instances and those in the platform's
// list, in no particular order.
func (d *Daemon) knownInstances(ctx context.Context) []kvstore.Instance {
	byID := map[string]kvstore.Instance{d.self.Instance: {ID: d.self.Instance, Domain: d.self.Domain, Address: d.self.Address}}
	for _, member := range d.liveInstances() {
		byID[member.Instance] = kvstore.Instance{ID: member.Instance, Domain: member.Domain, Address: member.Address}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	listed, _ := d.store.Instances(ctx, kvstore.EntryService) // without the list only live instances are returned
	for _, instance := range listed {
		if _, known := byID[instance.ID]; !known {
			byID[instance.ID] = instance
		}
	}
	out := make([]kvstore.Instance, 0, len(byID))
	for _, instance := range byID {
		out = append(out, instance)
	}
	return out
}

// silentInstances returns the IDs of the instances that did not answer.
func silentInstances(reports []instanceReport) []string {
	var out []string
	for _, r := range reports {
		if !r.Status.Answered {
			out = append(out, r.Status.ID)
		}
	}
	return out
}

// Instances implements operator.FleetQueries. It returns the status of each known
// instance.
func (b *backend) Instances(ctx context.Context) (operator.InstancesReport, error) {
	var out operator.InstancesReport
	for _, r := range b.daemon.collectReports(ctx) {
		out.Instances = append(out.Instances, r.Status)
	}
	return out, nil
}

// Running implements operator.FleetQueries. It returns the requests in flight that the
// shard owners report, the oldest first.
func (b *backend) Running(ctx context.Context) (operator.RunningReport, error) {
	reports := b.daemon.collectReports(ctx)
	out := operator.RunningReport{Silent: silentInstances(reports)}
	for _, r := range reports {
		out.Requests = append(out.Requests, r.Running...)
	}
	slices.SortFunc(out.Requests, func(a, b operator.RunningRequest) int { return cmp.Compare(b.Age, a.Age) })
	return out, nil
}

// Burn implements operator.FleetQueries. It returns the error budget burn of all
// instances together.
func (b *backend) Burn(ctx context.Context) (operator.BurnReport, error) {
	reports := b.daemon.collectReports(ctx)
	var burnReports []burn.Report
	for _, r := range reports {
		burnReports = append(burnReports, r.Burn)
	}
	return operator.BurnReport{Report: burn.Merge(burnReports...), Silent: silentInstances(reports)}, nil
}

// Draining implements operator.FleetQueries. It returns the endpoints that take no new
// work and the instances that are stopping.
func (b *backend) Draining(ctx context.Context) (operator.DrainingReport, error) {
	reports := b.daemon.collectReports(ctx)
	out := operator.DrainingReport{Silent: silentInstances(reports)}
	byID := map[string]*operator.DrainingEndpoint{}
	for _, r := range reports {
		if r.Status.Stopping {
			out.Instances = append(out.Instances, r.Status.ID)
		}
		for _, e := range r.Draining {
			mergeDraining(byID, e)
		}
	}
	for _, e := range byID {
		out.Endpoints = append(out.Endpoints, *e)
	}
	slices.SortFunc(out.Endpoints, func(a, b operator.DrainingEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out, nil
}

// mergeDraining adds what one instance reports about a draining endpoint to byID: the
// requests are summed, the reasons are united.
func mergeDraining(byID map[string]*operator.DrainingEndpoint, e operator.DrainingEndpoint) {
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

// Stop implements operator.FleetCommands. It asks an instance to stop gracefully and
// does not wait for the end of the stop.
func (b *backend) Stop(ctx context.Context, by operator.Issuer, req operator.StopRequest) (operator.StopResult, error) {
	b.daemon.log.WithField("operator", by.Operator).WithField("instance", req.Instance).Info("stop requested")
	for _, instance := range b.daemon.knownInstances(ctx) {
		if instance.ID != req.Instance {
			continue
		}
		status := b.daemon.fetchReport(ctx, instance).Status
		if instance.ID == b.daemon.self.Instance {
			b.daemon.requestStop()
			return operator.StopResult{Running: status.Running}, nil
		}
		err := b.daemon.transport.Call(ctx, instance.Address, methodStop, struct{}{}, nil)
		return operator.StopResult{Running: status.Running}, err
	}
	return operator.StopResult{}, failure.New(failure.NotFound, "use the ID of an instance from the query \"instances\"", "instance %q is not known", req.Instance)
}
