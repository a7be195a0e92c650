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
	// permitCheck is the time between looks for permits that end soon.
	permitCheck = 250 * time.Millisecond
	// prolongLead is how long before its end a permit is prolonged.
	prolongLead = 5 * time.Second
	// permitCall bounds one question to a steward.
	permitCall = time.Second
)

// permits gets slots on cold endpoints from the zones' stewards. It is safe
// for use by many goroutines.
type permits struct {
	router *Router
	holder *permit.Tracker
	lock   sync.Mutex
	held   map[ident.AttemptID]*heldPermit
}

type heldPermit struct {
	endpoint *fleet.Endpoint
	alone    bool
	ending   chan struct{} // closed when the attempt must be cancelled
	ended    bool
}

func newPermits(r *Router, holder *permit.Tracker) *permits {
	return &permits{router: r, holder: holder, held: map[ident.AttemptID]*heldPermit{}}
}

// Ask implements serve.Permits.
func (p *permits) Ask(ctx context.Context, endpoint *fleet.Endpoint, attempt ident.AttemptID, alone bool) error {
	asked := p.holder.Request(time.Now(), attempt, endpoint.Spec.ID)
	asked.Isolated = alone
	answer, err := p.question(ctx, endpoint.Spec.Zone, asked)
	if err == nil && answer.Grant != nil && p.holder.ApplyPermit(time.Now(), *answer.Grant) {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.held[attempt] = &heldPermit{endpoint: endpoint, alone: alone, ending: make(chan struct{})}
		return nil
	}
	p.Release(endpoint, attempt)
	if err != nil {
		return err
	}
	if answer.Deny != nil {
		return &serve.Denied{
			Reason: string(answer.Deny.Reason),
			After:  answer.Deny.RetryAfter,
			Nobody: answer.Deny.Reason == permit.ReasonNotSteward || answer.Deny.Reason == permit.ReasonEarlierPermits,
		}
	}
	return &serve.Denied{Reason: "permit came too late"}
}

// question asks the zone's steward.
func (p *permits) question(ctx context.Context, zone ident.ZoneID, asked permit.Request) (ctrl.AnswerPermit, error) {
	steward := p.router.view.Load().Stewards[zone]
	if steward == "" {
		return ctrl.AnswerPermit{Deny: &permit.Deny{Reason: permit.ReasonNotSteward, RetryAfter: permitCheck}}, nil
	}
	if steward == p.router.self.ID {
		return p.router.askPermit(ctx, zone, asked)
	}
	peer, err := p.router.peer(steward)
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	reply, err := peers.Call(ctx, permitCall, func(ctx context.Context) (*wire.PermitReply, error) {
		return peer.Permit(ctx, &wire.PermitRequest{
			Zone:     string(zone),
			Endpoint: string(asked.Endpoint),
			Router:   string(asked.Router),
			Attempt:  string(asked.Attempt),
			Alone:    asked.Isolated,
		})
	})
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	return permitAnswer(asked, reply), nil
}

func permitAnswer(asked permit.Request, reply *wire.PermitReply) ctrl.AnswerPermit {
	if !reply.Granted {
		after := time.Duration(reply.RetryMillis) * time.Millisecond
		return ctrl.AnswerPermit{Deny: &permit.Deny{Reason: permit.Reason(reply.Reason), RetryAfter: after}}
	}
	return ctrl.AnswerPermit{Grant: &permit.Permit{
		Endpoint:     asked.Endpoint,
		Router:       asked.Router,
		Attempt:      asked.Attempt,
		Term:         ident.Term(reply.Term),
		StartTimeout: time.Duration(reply.StartMillis) * time.Millisecond,
		RunTimeout:   time.Duration(reply.RunMillis) * time.Millisecond,
	}}
}

// Check implements serve.Permits.
func (p *permits) Check(now time.Time, attempt ident.AttemptID) bool {
	return p.holder.MarkSent(now, attempt)
}

// Ending implements serve.Permits.
func (p *permits) Ending(attempt ident.AttemptID) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if held, ok := p.held[attempt]; ok {
		return held.ending
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
	released, ok := p.holder.Release(attempt)
	if !ok {
		return
	}
	zone := endpoint.Spec.Zone
	steward := p.router.view.Load().Stewards[zone]
	if steward == p.router.self.ID {
		p.router.tell(ctrl.ReleasePermit{Zone: zone, Released: released})
		return
	}
	go p.giveBack(steward, zone, released)
}

func (p *permits) giveBack(steward ident.RouterID, zone ident.ZoneID, released permit.Release) {
	peer, err := p.router.peer(steward)
	if err != nil {
		return // the steward's count of the permit lapses by itself
	}
	_, err = peers.Call(context.Background(), permitCall, func(ctx context.Context) (*wire.ReleaseReply, error) {
		return peer.Release(ctx, &wire.ReleaseRequest{
			Zone:     string(zone),
			Endpoint: string(released.Endpoint),
			Attempt:  string(released.Attempt),
			Router:   string(p.router.self.ID),
		})
	})
	if err != nil {
		p.router.log.Debug("giving permit back", zap.Error(err))
	}
}

// loop prolongs the permits of long runs, and ends runs whose permit cannot be
// prolonged.
func (p *permits) loop(ctx context.Context) error {
	ticker := time.NewTicker(permitCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		for _, attempt := range p.holder.Expiring(now, 0) {
			p.end(attempt)
		}
		for _, attempt := range p.holder.Expiring(now, prolongLead) {
			go p.prolong(ctx, attempt)
		}
	}
}

func (p *permits) end(attempt ident.AttemptID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if held, ok := p.held[attempt]; ok && !held.ended {
		held.ended = true
		close(held.ending)
	}
}

func (p *permits) prolong(ctx context.Context, attempt ident.AttemptID) {
	p.lock.Lock()
	held, ok := p.held[attempt]
	p.lock.Unlock()
	if !ok || held.ended {
		return
	}
	asked := p.holder.Request(time.Now(), attempt, held.endpoint.Spec.ID)
	asked.Isolated = held.alone
	answer, err := p.question(ctx, held.endpoint.Spec.Zone, asked)
	if err == nil && answer.Grant != nil {
		p.holder.ApplyPermit(time.Now(), *answer.Grant)
	}
}
