package router

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/wire"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// heartbeatTimeout limits one heartbeat call.
	heartbeatTimeout = time.Second
	// ageUnit is the unit of peer ages in heartbeats.
	ageUnit = 100 * time.Millisecond
	// maxAgeUnits is the largest peer age in a heartbeat, in ageUnit.
	maxAgeUnits = 255
	// unconfirmed encodes the age of a confirmation that has never been received.
	unconfirmed = math.MaxUint64
)

// sendHeartbeat sends a heartbeat and posts the reply to the control thread.
func (r *Router) sendHeartbeat(ctx context.Context, a ctrl.SendHeartbeat) {
	sentAt := time.Now()
	reply, err := r.callHeartbeat(ctx, a)
	if err != nil {
		r.postEvent(ctx, ctrl.HeartbeatFailed{Router: a.To.ID})
		return
	}
	if reply.Router.GetId() != string(a.To.ID) {
		// Another router uses this address now.
		r.postEvent(ctx, ctrl.HeartbeatFailed{Router: a.To.ID})
		return
	}
	r.postEvent(ctx, ctrl.HeartbeatAcked{
		Router:          decodeRouter(reply.Router),
		SentAt:          sentAt,
		Generation:      ident.Generation(reply.Generation),
		ConfirmationAge: decodeAge(reply.ConfirmedMillis),
		Cursors:         a.Cursors,
		Withdrawals:     a.Withdrawals,
	})
}

func (r *Router) callHeartbeat(ctx context.Context, a ctrl.SendHeartbeat) (*wire.BeatReply, error) {
	peer, err := r.peerPool.Client(a.To.Peer)
	if err != nil {
		return nil, err
	}
	request, err := encodeHeartbeat(a.Heartbeat)
	if err != nil {
		return nil, err
	}
	r.stats.recordSent(request)
	return peers.Call(ctx, heartbeatTimeout, func(ctx context.Context) (*wire.BeatReply, error) {
		return peer.Beat(ctx, request)
	})
}

// Beat implements wire.PeerServer.
func (p *peerServer) Beat(_ context.Context, request *wire.BeatRequest) (*wire.BeatReply, error) {
	heartbeat, err := decodeHeartbeat(request)
	if err != nil {
		return nil, err
	}
	p.router.stats.recordReceived(request)
	p.router.submitEvent(ctrl.HeartbeatReceived{Heartbeat: heartbeat})
	reply := &wire.BeatReply{Router: encodeRouter(p.router.self), ConfirmedMillis: unconfirmed}
	if v := p.router.view.Load(); v != nil {
		reply.Router = encodeRouter(v.Self)
		reply.Generation = uint64(v.Config.Generation)
		reply.ConfirmedMillis = encodeAge(time.Now(), v.ConfirmedAt)
	}
	return reply, nil
}

func encodeHeartbeat(b ctrl.Heartbeat) (*wire.BeatRequest, error) {
	request := &wire.BeatRequest{
		Router:          encodeRouter(b.Router),
		Generation:      uint64(b.Generation),
		ConfirmedMillis: uint64(b.ConfirmationAge.Milliseconds()),
		Platform:        b.PlatformReachable,
		Serving:         b.Serving,
		Stopping:        b.Stopping,
	}
	for _, z := range b.StewardedZones {
		request.Stewards = append(request.Stewards, string(z))
	}
	for _, p := range b.PeerAges {
		request.Heard = append(request.Heard, p.Hash)
		request.Ages = append(request.Ages, byte(min(p.Age/ageUnit+1, maxAgeUnits)))
	}
	for _, w := range b.Withdrawals {
		request.Withdrawals = append(request.Withdrawals, &wire.Withdrawal{
			Model: string(w.Release.Model), Version: string(w.Release.Version),
			Reason: w.Reason, By: w.By, At: w.At.UnixMilli(),
		})
	}
	fields := []jsonField{
		{"evidence", &request.Evidence, b.Evidence, len(b.Evidence) == 0},
		{"estimates", &request.Estimates, b.Estimates, len(b.Estimates) == 0},
		{"deaths", &request.Deaths, b.CrashDelta, b.CrashDelta.IsEmpty()},
		{"marks", &request.Marks, b.ColdMarks, len(b.ColdMarks) == 0},
	}
	for _, f := range fields {
		if err := f.encode(); err != nil {
			return nil, err
		}
	}
	return request, nil
}

// jsonField is a heartbeat field that is encoded as JSON.
type jsonField struct {
	name  string
	text  *[]byte
	value any
	empty bool
}

func (f jsonField) encode() error {
	if f.empty {
		return nil
	}
	text, err := json.Marshal(f.value)
	if err != nil {
		return fmt.Errorf("encoding %s of heartbeat: %w", f.name, err)
	}
	*f.text = text
	return nil
}

func (f jsonField) decode() error {
	if len(*f.text) == 0 {
		return nil
	}
	if err := json.Unmarshal(*f.text, f.value); err != nil {
		return fmt.Errorf("decoding %s of heartbeat: %w", f.name, err)
	}
	return nil
}

func decodeHeartbeat(request *wire.BeatRequest) (ctrl.Heartbeat, error) {
	b := ctrl.Heartbeat{
		Router:            decodeRouter(request.Router),
		Generation:        ident.Generation(request.Generation),
		ConfirmationAge:   time.Duration(request.ConfirmedMillis) * time.Millisecond,
		PlatformReachable: request.Platform,
		Serving:           request.Serving,
		Stopping:          request.Stopping,
	}
	for _, z := range request.Stewards {
		b.StewardedZones = append(b.StewardedZones, ident.ZoneID(z))
	}
	for i, hash := range request.Heard {
		if i < len(request.Ages) {
			b.PeerAges = append(b.PeerAges, ctrl.PeerAge{Hash: hash, Age: time.Duration(request.Ages[i]) * ageUnit})
		}
	}
	for _, w := range request.Withdrawals {
		b.Withdrawals = append(b.Withdrawals, fleet.Withdrawal{
			Release: ident.Release{Model: ident.ModelID(w.Model), Version: ident.VersionID(w.Version)},
			Reason:  w.Reason, By: w.By, At: time.UnixMilli(w.At),
		})
	}
	fields := []jsonField{
		{"evidence", &request.Evidence, &b.Evidence, false},
		{"estimates", &request.Estimates, &b.Estimates, false},
		{"deaths", &request.Deaths, &b.CrashDelta, false},
		{"marks", &request.Marks, &b.ColdMarks, false},
	}
	for _, f := range fields {
		if err := f.decode(); err != nil {
			return ctrl.Heartbeat{}, err
		}
	}
	return b, nil
}

func encodeRouter(r fleet.Router) *wire.Router {
	return &wire.Router{Id: string(r.ID), Zone: string(r.Zone), Peer: r.Peer, Admin: r.Admin, Leaving: r.Leaving}
}

func decodeRouter(w *wire.Router) fleet.Router {
	return fleet.Router{
		ID:      ident.RouterID(w.GetId()),
		Zone:    ident.ZoneID(w.GetZone()),
		Peer:    w.GetPeer(),
		Admin:   w.GetAdmin(),
		Leaving: w.GetLeaving(),
	}
}

// encodeAge returns the age of a confirmation in milliseconds, or unconfirmed for
// the zero time.
func encodeAge(now, confirmed time.Time) uint64 {
	if confirmed.IsZero() {
		return unconfirmed
	}
	return uint64(max(0, now.Sub(confirmed).Milliseconds()))
}

// decodeAge decodes an age encoded by encodeAge. It returns a negative age for
// unconfirmed.
func decodeAge(millis uint64) time.Duration {
	if millis == unconfirmed {
		return -1
	}
	return time.Duration(millis) * time.Millisecond
}

// fetchConfig fetches a configuration from the peer that announced it.
func (r *Router) fetchConfig(ctx context.Context, a ctrl.FetchConfig) {
	e, err := r.callFetch(ctx, a)
	if err != nil {
		r.log.Warn("fetching configuration from peer", zap.String("peer", string(a.From.ID)), zap.Error(err))
		e = ctrl.ConfigFetched{}
	}
	r.postEvent(ctx, e)
}

func (r *Router) callFetch(ctx context.Context, a ctrl.FetchConfig) (ctrl.ConfigFetched, error) {
	peer, err := r.peerPool.Client(a.From.Peer)
	if err != nil {
		return ctrl.ConfigFetched{}, err
	}
	reply, err := peers.Call(ctx, callTimeout, func(ctx context.Context) (*wire.FetchReply, error) {
		return peer.Fetch(ctx, &wire.FetchRequest{Generation: uint64(a.Head.Generation)})
	})
	if err != nil || len(reply.Config) == 0 {
		return ctrl.ConfigFetched{}, err
	}
	var e ctrl.ConfigFetched
	if err := json.Unmarshal(reply.Head, &e.Head); err != nil {
		return ctrl.ConfigFetched{}, fmt.Errorf("decoding head: %w", err)
	}
	if err := json.Unmarshal(reply.Config, &e.Config); err != nil {
		return ctrl.ConfigFetched{}, fmt.Errorf("decoding configuration: %w", err)
	}
	return e, nil
}

// Fetch implements wire.PeerServer.
func (p *peerServer) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.FetchReply, error) {
	current := p.router.current.Load()
	if current == nil || uint64(current.head.Generation) < request.Generation {
		return &wire.FetchReply{}, nil
	}
	head, err := json.Marshal(current.head)
	if err != nil {
		return nil, fmt.Errorf("encoding head: %w", err)
	}
	config, err := json.Marshal(current.config)
	if err != nil {
		return nil, fmt.Errorf("encoding configuration: %w", err)
	}
	return &wire.FetchReply{Head: head, Config: config}, nil
}

// HeartbeatSize returns the encoded size of a heartbeat in bytes. It is used by
// benchmarks.
func HeartbeatSize(b ctrl.Heartbeat) (int, error) {
	request, err := encodeHeartbeat(b)
	if err != nil {
		return 0, err
	}
	text, err := proto.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("encoding heartbeat: %w", err)
	}
	return len(text), nil
}
