package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/serve"
	"github.com/marigoldscale/marigoldscale/internal/wire"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// permitCheckInterval is the interval between checks for expiring permits.
	permitCheckInterval = 250 * time.Millisecond
	// renewalLead is the time before its expiry at which a permit is renewed.
	renewalLead = 5 * time.Second
	// permitTimeout limits one call to a steward.
	permitTimeout = time.Second
)

// permits requests slots on cold endpoints from the stewards of their zones. It is
// safe for concurrent use.
type permits struct {
	router  *Router
	tracker *permit.Tracker
	lock    sync.Mutex
	held    map[ident.AttemptID]*heldPermit
}

type heldPermit struct {
	endpoint  *fleet.Endpoint
	isolated  bool
	cancelled chan struct{} // closed when the attempt must be cancelled
	expired   bool
}

func newPermits(r *Router, tracker *permit.Tracker) *permits {
	return &permits{router: r, tracker: tracker, held: map[ident.AttemptID]*heldPermit{}}
}

// Acquire implements serve.Permits.
func (p *permits) Acquire(ctx context.Context, endpoint *fleet.Endpoint, attempt ident.AttemptID, isolated bool) error {
	request := p.tracker.Request(time.Now(), attempt, endpoint.Spec.ID)
	request.Isolated = isolated
	answer, err := p.requestFromSteward(ctx, endpoint.Spec.Zone, request)
	if err == nil && answer.Grant != nil && p.tracker.ApplyPermit(time.Now(), *answer.Grant) {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.held[attempt] = &heldPermit{endpoint: endpoint, isolated: isolated, cancelled: make(chan struct{})}
		return nil
	}
	p.Release(endpoint, attempt)
	if err != nil {
		return err
	}
	if answer.Deny != nil {
		return &serve.PermitDeniedError{
			Reason:     string(answer.Deny.Reason),
			RetryAfter: answer.Deny.RetryAfter,
			NoSteward:  answer.Deny.Reason == permit.ReasonNotSteward || answer.Deny.Reason == permit.ReasonEarlierPermits,
		}
	}
	return &serve.PermitDeniedError{Reason: "permit came too late"}
}

// requestFromSteward sends a permit request to the zone's steward.
func (p *permits) requestFromSteward(ctx context.Context, zone ident.ZoneID, request permit.Request) (ctrl.AnswerPermit, error) {
	steward := p.router.view.Load().Stewards[zone]
	if steward == "" {
		return ctrl.AnswerPermit{Deny: &permit.Deny{Reason: permit.ReasonNotSteward, RetryAfter: permitCheckInterval}}, nil
	}
	if steward == p.router.self.ID {
		return p.router.requestPermit(ctx, zone, request)
	}
	peer, err := p.router.peerClient(steward)
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	reply, err := peers.Call(ctx, permitTimeout, func(ctx context.Context) (*wire.PermitReply, error) {
		return peer.Permit(ctx, &wire.PermitRequest{
			Zone:     string(zone),
			Endpoint: string(request.Endpoint),
			Router:   string(request.Router),
			Attempt:  string(request.Attempt),
			Alone:    request.Isolated,
		})
	})
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	return decodePermitReply(request, reply), nil
}

func decodePermitReply(request permit.Request, reply *wire.PermitReply) ctrl.AnswerPermit {
	if !reply.Granted {
		after := time.Duration(reply.RetryMillis) * time.Millisecond
		return ctrl.AnswerPermit{Deny: &permit.Deny{Reason: permit.Reason(reply.Reason), RetryAfter: after}}
	}
	return ctrl.AnswerPermit{Grant: &permit.Permit{
		Endpoint:     request.Endpoint,
		Router:       request.Router,
		Attempt:      request.Attempt,
		Term:         ident.Term(reply.Term),
		StartTimeout: time.Duration(reply.StartMillis) * time.Millisecond,
		RunTimeout:   time.Duration(reply.RunMillis) * time.Millisecond,
	}}
}

// Valid implements serve.Permits.
func (p *permits) Valid(now time.Time, attempt ident.AttemptID) bool {
	return p.tracker.MarkSent(now, attempt)
}

// Expired implements serve.Permits.
func (p *permits) Expired(attempt ident.AttemptID) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if held, ok := p.held[attempt]; ok {
		return held.cancelled
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Release implements serve.Permits.
func (p *permits) Release(endpoint *fleet.Endpoint, attempt ident.AttemptID) {
	p.lock.Lock()
	delete(p.held, attempt)
	p.lock.Unlock()
	released, ok := p.tracker.Release(attempt)
	if !ok {
		return
	}
	zone := endpoint.Spec.Zone
	steward := p.router.view.Load().Stewards[zone]
	if steward == p.router.self.ID {
		p.router.submitEvent(ctrl.ReleasePermit{Zone: zone, Released: released})
		return
	}
	go p.releaseRemote(steward, zone, released)
}

func (p *permits) releaseRemote(steward ident.RouterID, zone ident.ZoneID, released permit.Release) {
	peer, err := p.router.peerClient(steward)
	if err != nil {
		return // the permit expires at the steward
	}
	_, err = peers.Call(context.Background(), permitTimeout, func(ctx context.Context) (*wire.ReleaseReply, error) {
		return peer.Release(ctx, &wire.ReleaseRequest{
			Zone:     string(zone),
			Endpoint: string(released.Endpoint),
			Attempt:  string(released.Attempt),
			Router:   string(p.router.self.ID),
		})
	})
	if err != nil {
		p.router.log.Debug("releasing permit", zap.Error(err))
	}
}

// loop renews the permits of long attempts and cancels attempts whose permit
// expires.
func (p *permits) loop(ctx context.Context) error {
	ticker := time.NewTicker(permitCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		for _, attempt := range p.tracker.Expiring(now, 0) {
			p.expire(attempt)
		}
		for _, attempt := range p.tracker.Expiring(now, renewalLead) {
			go p.renew(ctx, attempt)
		}
	}
}

func (p *permits) expire(attempt ident.AttemptID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if held, ok := p.held[attempt]; ok && !held.expired {
		held.expired = true
		close(held.cancelled)
	}
}

func (p *permits) renew(ctx context.Context, attempt ident.AttemptID) {
	p.lock.Lock()
	held, ok := p.held[attempt]
	p.lock.Unlock()
	if !ok || held.expired {
		return
	}
	request := p.tracker.Request(time.Now(), attempt, held.endpoint.Spec.ID)
	request.Isolated = held.isolated
	answer, err := p.requestFromSteward(ctx, held.endpoint.Spec.Zone, request)
	if err == nil && answer.Grant != nil {
		p.tracker.ApplyPermit(time.Now(), *answer.Grant)
	}
}
