package router

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/wire"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// peerServer implements the gRPC service for peer routers.
type peerServer struct {
	wire.UnimplementedPeerServer
	router *Router
}

// Propose implements wire.PeerServer.
func (p *peerServer) Propose(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
	record, err := shard.DecodeRecord(request.Record)
	if err != nil {
		return nil, fmt.Errorf("proposal of router %q: %w", request.Router, err)
	}
	result, err := p.router.journal.Propose(ctx, record)
	if err != nil {
		return nil, fmt.Errorf("proposing for router %q: %w", request.Router, err)
	}
	text, err := shard.EncodeResult(result)
	if err != nil {
		return nil, fmt.Errorf("answering router %q: %w", request.Router, err)
	}
	return &wire.ProposeReply{Result: text}, nil
}

// Permit implements wire.PeerServer.
func (p *peerServer) Permit(ctx context.Context, request *wire.PermitRequest) (*wire.PermitReply, error) {
	answer, err := p.router.requestPermit(ctx, ident.ZoneID(request.Zone), permit.Request{
		Router:   ident.RouterID(request.Router),
		Attempt:  ident.AttemptID(request.Attempt),
		Endpoint: ident.EndpointID(request.Endpoint),
		Isolated: request.Alone,
	})
	if err != nil {
		return nil, err
	}
	if answer.Grant == nil {
		return &wire.PermitReply{Reason: string(answer.Deny.Reason), RetryMillis: answer.Deny.RetryAfter.Milliseconds()}, nil
	}
	return &wire.PermitReply{
		Granted:     true,
		Term:        uint64(answer.Grant.Term),
		StartMillis: answer.Grant.StartTimeout.Milliseconds(),
		RunMillis:   answer.Grant.RunTimeout.Milliseconds(),
	}, nil
}

// Release implements wire.PeerServer.
func (p *peerServer) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	p.router.submitEvent(ctrl.ReleasePermit{
		Zone: ident.ZoneID(request.Zone),
		Released: permit.Release{
			Endpoint: ident.EndpointID(request.Endpoint),
			Attempt:  ident.AttemptID(request.Attempt),
		},
	})
	return &wire.ReleaseReply{}, nil
}

// Claim implements wire.PeerServer.
func (p *peerServer) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	answer, err := p.router.requestClaim(ctx, poison.Claim{
		Fingerprint: ident.Fingerprint(request.Fingerprint),
		Router:      ident.RouterID(request.Router),
		Attempt:     ident.AttemptID(request.Attempt),
	})
	if err != nil {
		return nil, err
	}
	switch a := answer.(type) {
	case poison.Run:
		return &wire.ClaimReply{Allowed: true, Alone: a.Isolated}, nil
	case poison.Wait:
		return &wire.ClaimReply{RetryMillis: a.RetryAfter.Milliseconds()}, nil
	default:
		return &wire.ClaimReply{Refused: true}, nil
	}
}

// End implements wire.PeerServer.
func (p *peerServer) End(_ context.Context, request *wire.EndRequest) (*wire.EndReply, error) {
	ended := poison.ClaimEnd{
		Fingerprint: ident.Fingerprint(request.Fingerprint),
		Attempt:     ident.AttemptID(request.Attempt),
		Complete:    request.Whole,
	}
	if request.Died {
		ended.Crashed = &poison.Incarnation{Endpoint: ident.EndpointID(request.Endpoint), BootID: request.Boot}
	}
	p.router.submitEvent(ctrl.EndClaim{Ended: ended})
	return &wire.EndReply{}, nil
}

// requestPermit requests a permit from this router's control thread.
func (r *Router) requestPermit(ctx context.Context, zone ident.ZoneID, request permit.Request) (ctrl.AnswerPermit, error) {
	a, err := r.pending.request(ctx, r.submitEvent, func(id ctrl.CorrelationID) ctrl.Event {
		return ctrl.RequestPermit{CorrelationID: id, Zone: zone, Request: request}
	})
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	return a.(ctrl.AnswerPermit), nil
}

// requestClaim submits a claim for a body to this router's control thread.
func (r *Router) requestClaim(ctx context.Context, claim poison.Claim) (poison.Answer, error) {
	a, err := r.pending.request(ctx, r.submitEvent, func(id ctrl.CorrelationID) ctrl.Event {
		return ctrl.RequestClaim{CorrelationID: id, Claim: claim}
	})
	if err != nil {
		return nil, err
	}
	return a.(ctrl.AnswerClaim).Answer, nil
}

// peerClient returns a client for a live router.
func (r *Router) peerClient(id ident.RouterID) (wire.PeerClient, error) {
	v := r.view.Load()
	if v == nil {
		return nil, errors.Errorf("router %q is not known yet", id)
	}
	for _, known := range v.Routers {
		if known.ID == id {
			return r.peerPool.Client(known.Peer)
		}
	}
	return nil, errors.Errorf("router %q is not live", id)
}

// forwarder forwards journal records to the routers that own their shards.
type forwarder struct {
	router *Router
}

// Propose implements shard.Forwarder.
func (f *forwarder) Propose(ctx context.Context, owner ident.RouterID, id shard.ID, record shard.Record) (shard.Result, error) {
	peer, err := f.router.peerClient(owner)
	if err != nil {
		return nil, fmt.Errorf("forwarding to %q: %w: %w", owner, plat.ErrUnavailable, err)
	}
	text, err := shard.EncodeRecord(record)
	if err != nil {
		return nil, fmt.Errorf("forwarding to %q: %w: %w", owner, plat.ErrUnavailable, err)
	}
	reply, err := peer.Propose(ctx, &wire.ProposeRequest{
		Shard:  uint32(id),
		Router: string(f.router.self.ID),
		Record: text,
	})
	if err != nil {
		return nil, fmt.Errorf("forwarding to %q: %w", owner, err)
	}
	result, err := shard.DecodeResult(reply.Result)
	if err != nil {
		return nil, fmt.Errorf("answer of %q: %w", owner, err)
	}
	return result, nil
}

// bodyOwners sends claims to the owners of bodies. If an owner cannot be reached,
// it answers from the suspicions known to this router.
type bodyOwners struct {
	router *Router
}

// Claim implements serve.BodyOwners.
func (o *bodyOwners) Claim(ctx context.Context, claim poison.Claim) poison.Answer {
	answer, err := o.claimFromOwner(ctx, claim)
	if err == nil {
		return answer
	}
	switch o.router.view.Load().Suspicions[claim.Fingerprint] {
	case fleet.SuspicionRefused:
		return poison.Refuse{}
	case fleet.SuspicionIsolated:
		return poison.Wait{RetryAfter: claimRetryDelay}
	default:
		return poison.Run{}
	}
}

// claimRetryDelay is the delay before a claim is repeated if the owner of a
// suspected body cannot be reached.
const claimRetryDelay = 500 * time.Millisecond

func (o *bodyOwners) claimFromOwner(ctx context.Context, claim poison.Claim) (poison.Answer, error) {
	owner := o.owner(claim.Fingerprint)
	if owner == o.router.self.ID {
		return o.router.requestClaim(ctx, claim)
	}
	peer, err := o.router.peerClient(owner)
	if err != nil {
		return nil, err
	}
	reply, err := peers.Call(ctx, claimTimeout, func(ctx context.Context) (*wire.ClaimReply, error) {
		return peer.Claim(ctx, &wire.ClaimRequest{
			Fingerprint: uint64(claim.Fingerprint),
			Router:      string(claim.Router),
			Attempt:     string(claim.Attempt),
		})
	})
	if err != nil {
		return nil, err
	}
	switch {
	case reply.Allowed:
		return poison.Run{Isolated: reply.Alone}, nil
	case reply.Refused:
		return poison.Refuse{}, nil
	default:
		return poison.Wait{RetryAfter: time.Duration(reply.RetryMillis) * time.Millisecond}, nil
	}
}

// claimTimeout limits a claim sent to the owner of a body. Requests for bodies
// whose owner has just failed are delayed by this time.
const claimTimeout = 150 * time.Millisecond

func (o *bodyOwners) owner(f ident.Fingerprint) ident.RouterID {
	v := o.router.view.Load()
	return v.Owners.Owner(f)
}

// End implements serve.BodyOwners. If a crash cannot be reported to the owner, this
// router records and propagates it.
func (o *bodyOwners) End(ctx context.Context, ended poison.ClaimEnd) {
	owner := o.owner(ended.Fingerprint)
	if owner == o.router.self.ID {
		o.router.submitEvent(ctrl.EndClaim{Ended: ended})
		return
	}
	err := o.sendEnd(ctx, owner, ended)
	if err == nil {
		return
	}
	o.router.metrics.Count("guard_end_failures_total", 1)
	if ended.Crashed != nil {
		o.router.submitEvent(ctrl.EndClaim{Ended: ended})
	}
}

func (o *bodyOwners) sendEnd(ctx context.Context, owner ident.RouterID, ended poison.ClaimEnd) error {
	peer, err := o.router.peerClient(owner)
	if err != nil {
		return err
	}
	request := &wire.EndRequest{Fingerprint: uint64(ended.Fingerprint), Attempt: string(ended.Attempt), Whole: ended.Complete}
	if ended.Crashed != nil {
		request.Died = true
		request.Endpoint = string(ended.Crashed.Endpoint)
		request.Boot = ended.Crashed.BootID
	}
	if _, err := peer.End(ctx, request); err != nil {
		return fmt.Errorf("reporting the end of a claim to owner %q: %w", owner, err)
	}
	return nil
}
