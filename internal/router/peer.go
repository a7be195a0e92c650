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

// peerServer answers the other routers.
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
	answer, err := p.router.askPermit(ctx, ident.ZoneID(request.Zone), permit.Request{
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
	p.router.tell(ctrl.ReleasePermit{
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
	answer, err := p.router.askClaim(ctx, poison.Claim{
		Fingerprint: ident.Fingerprint(request.Fingerprint),
		Router:      ident.RouterID(request.Router),
		Attempt:     ident.AttemptID(request.Attempt),
	})
	if err != nil {
		return nil, err
	}
	switch a := answer.(type) {
	case poison.Run:
		return &wire.ClaimReply{Allowed: true, Alone: a.Alone}, nil
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
	p.router.tell(ctrl.EndClaim{Ended: ended})
	return &wire.EndReply{}, nil
}

// askPermit asks this router's own control thread for a permit.
func (r *Router) askPermit(ctx context.Context, zone ident.ZoneID, asked permit.Request) (ctrl.AnswerPermit, error) {
	a, err := r.asked.ask(ctx, r.tell, func(t ctrl.CorrelationID) ctrl.Event {
		return ctrl.RequestPermit{CorrelationID: t, Zone: zone, Request: asked}
	})
	if err != nil {
		return ctrl.AnswerPermit{}, err
	}
	return a.(ctrl.AnswerPermit), nil
}

// askClaim asks this router's own control thread about a body.
func (r *Router) askClaim(ctx context.Context, claim poison.Claim) (poison.Answer, error) {
	a, err := r.asked.ask(ctx, r.tell, func(t ctrl.CorrelationID) ctrl.Event {
		return ctrl.RequestClaim{CorrelationID: t, Claim: claim}
	})
	if err != nil {
		return nil, err
	}
	return a.(ctrl.AnswerClaim).Answer, nil
}

// peer gives a client of a live router.
func (r *Router) peer(id ident.RouterID) (wire.PeerClient, error) {
	v := r.view.Load()
	if v == nil {
		return nil, errors.Errorf("router %q is not known yet", id)
	}
	for _, known := range v.Routers {
		if known.ID == id {
			return r.links.Client(known.Peer)
		}
	}
	return nil, errors.Errorf("router %q is not live", id)
}

// forwarder hands journal records to the routers that own their shards.
type forwarder struct {
	router *Router
}

// Propose implements shard.Forwarder.
func (f *forwarder) Propose(ctx context.Context, owner ident.RouterID, id shard.ID, record shard.Record) (shard.Result, error) {
	peer, err := f.router.peer(owner)
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

// guards asks the homes of bodies. When a home cannot be reached, this
// router's own knowledge decides.
type guards struct {
	router *Router
}

// Claim implements serve.Guards.
func (g *guards) Claim(ctx context.Context, claim poison.Claim) poison.Answer {
	answer, err := g.ask(ctx, claim)
	if err == nil {
		return answer
	}
	switch g.router.view.Load().Suspicions[claim.Fingerprint] {
	case fleet.SuspicionRefused:
		return poison.Refuse{}
	case fleet.SuspicionIsolated:
		return poison.Wait{RetryAfter: guardPause}
	default:
		return poison.Run{}
	}
}

// guardPause is when to ask again if the home of a suspected body is away.
const guardPause = 500 * time.Millisecond

func (g *guards) ask(ctx context.Context, claim poison.Claim) (poison.Answer, error) {
	home := g.home(claim.Fingerprint)
	if home == g.router.self.ID {
		return g.router.askClaim(ctx, claim)
	}
	peer, err := g.router.peer(home)
	if err != nil {
		return nil, err
	}
	reply, err := peers.Call(ctx, homeTimeout, func(ctx context.Context) (*wire.ClaimReply, error) {
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
		return poison.Run{Alone: reply.Alone}, nil
	case reply.Refused:
		return poison.Refuse{}, nil
	default:
		return poison.Wait{RetryAfter: time.Duration(reply.RetryMillis) * time.Millisecond}, nil
	}
}

// homeTimeout bounds a question to a body's home; it delays every request whose
// home has just died.
const homeTimeout = 150 * time.Millisecond

func (g *guards) home(f ident.Fingerprint) ident.RouterID {
	v := g.router.view.Load()
	return v.Homes.Owner(f)
}

// End implements serve.Guards. A death that the home cannot be told of is kept
// here, and spread from here.
func (g *guards) End(ctx context.Context, ended poison.ClaimEnd) {
	home := g.home(ended.Fingerprint)
	if home == g.router.self.ID {
		g.router.tell(ctrl.EndClaim{Ended: ended})
		return
	}
	err := g.tellHome(ctx, home, ended)
	if err == nil {
		return
	}
	g.router.metrics.Count("guard_end_failures_total", 1)
	if ended.Crashed != nil {
		g.router.tell(ctrl.EndClaim{Ended: ended})
	}
}

func (g *guards) tellHome(ctx context.Context, home ident.RouterID, ended poison.ClaimEnd) error {
	peer, err := g.router.peer(home)
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
		return fmt.Errorf("telling home %q of an end: %w", home, err)
	}
	return nil
}
