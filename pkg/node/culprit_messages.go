package node

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// Methods between the instances that report dead endpoints and the collectors.
const (
	// deathMethod reports an endpoint that died to a collector.
	deathMethod peer.Method = "quarantine.death"
	// survivalsMethod asks an instance when endpoints survived requests with given traits.
	survivalsMethod peer.Method = "quarantine.survivals"
	// refuseMethod tells an instance which combinations of traits to refuse.
	refuseMethod peer.Method = "quarantine.refuse"
	// refusalsMethod asks an instance which combinations it refuses.
	refusalsMethod peer.Method = "quarantine.refusals"
	// liftMethod tells an instance that a request with a refused combination ended well.
	liftMethod peer.Method = "quarantine.lift"
)

// deathReport is the message of deathMethod.
type deathReport struct {
	Endpoint string             `cbor:"1,keyasint"`
	Traits   []quarantine.Trait `cbor:"2,keyasint"`
	// Age is the time since the death.
	Age time.Duration `cbor:"3,keyasint"`
}

// survivalsQuery is the message of survivalsMethod.
type survivalsQuery struct {
	Traits []quarantine.Trait `cbor:"1,keyasint"`
}

// survivalsReply answers survivalsMethod.
type survivalsReply struct {
	// Ages holds for each trait of the query the time since its latest survival, or
	// noSurvival.
	Ages []time.Duration `cbor:"1,keyasint"`
}

const noSurvival = time.Duration(-1)

// refusalsMessage is the message of refuseMethod and the reply to refusalsMethod.
type refusalsMessage struct {
	Refused []refusedCombination `cbor:"1,keyasint,omitempty"`
}

// refusedCombination is a combination with the time since the latest death under it.
type refusedCombination struct {
	Traits quarantine.Combination `cbor:"1,keyasint"`
	Age    time.Duration          `cbor:"2,keyasint"`
}

// liftMessage is the message of liftMethod.
type liftMessage struct {
	Traits quarantine.Combination `cbor:"1,keyasint"`
}

// registerPeer registers the handlers of the methods.
func (f *culpritFinder) registerPeer(reg peer.Registrar) {
	reg.Handle(deathMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var report deathReport
		if err := peer.Unmarshal(body, &report); err != nil {
			return nil, err
		}
		f.post(ctx, func(ctx context.Context) { f.recordDeath(ctx, report, time.Now().Add(-max(0, report.Age))) })
		return struct{}{}, ctx.Err()
	})
	reg.Handle(survivalsMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var query survivalsQuery
		if err := peer.Unmarshal(body, &query); err != nil {
			return nil, err
		}
		return survivalsReply{f.survivalAges(query.Traits, time.Now())}, nil
	})
	reg.Handle(refuseMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var message refusalsMessage
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		f.post(ctx, func(context.Context) { f.adoptAll(message.Refused, from.Instance) })
		return struct{}{}, ctx.Err()
	})
	reg.Handle(liftMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var message liftMessage
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		f.post(ctx, func(context.Context) {
			if f.lift(message.Traits, time.Now()) {
				f.log.WithField("lifted", message.Traits.String()).WithField("from", from.Instance).Warn("a refused request ended well; such requests are no longer refused")
			}
		})
		return struct{}{}, ctx.Err()
	})
	reg.Handle(refusalsMethod, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		type result struct {
			message refusalsMessage
			err     error
		}
		reply := make(chan result, 1)
		f.post(ctx, func(context.Context) {
			if !f.synced {
				reply <- result{err: failure.New(failure.NotReady, "ask again", "this instance does not know yet what is refused")}
				return
			}
			reply <- result{message: refusalsMessage{f.refused(time.Now())}}
		})
		select {
		case r := <-reply:
			return r.message, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}
