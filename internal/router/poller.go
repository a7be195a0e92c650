package router

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// reportsPerCacheRead is the number of load reports per read of cache events.
	reportsPerCacheRead = 2
	// blockHashBase is the number base of block hashes in cache events.
	blockHashBase = 16
)

// poller polls one endpoint for its load and its prefix-cache events.
type poller struct {
	router       *Router
	spec         *fleet.EndpointSpec
	cancel       context.CancelFunc
	lastSequence uint64 // sequence number of the newest cache event read
}

// pollLoop runs one poller for each endpoint in the view.
func (r *Router) pollLoop(ctx context.Context) error {
	pollers := map[ident.EndpointID]*poller{}
	var running sync.WaitGroup
	for ctx.Err() == nil {
		if v := r.view.Load(); v != nil {
			r.syncPollers(ctx, v, pollers, &running)
		}
		sleep(ctx, r.settings.Times.Report)
	}
	for _, p := range pollers {
		p.cancel()
	}
	running.Wait()
	return nil
}

func (r *Router) syncPollers(ctx context.Context, v *ctrl.View, pollers map[ident.EndpointID]*poller, running *sync.WaitGroup) {
	for id, p := range pollers {
		e, ok := v.Endpoints[id]
		if !ok || e.Spec.Address != p.spec.Address {
			p.cancel()
			delete(pollers, id)
		}
	}
	for id, e := range v.Endpoints {
		if _, ok := pollers[id]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		p := &poller{router: r, spec: e.Spec, cancel: cancel}
		pollers[id] = p
		running.Add(1)
		go func() {
			defer running.Done()
			p.loop(ctx)
		}()
	}
}

func (p *poller) loop(ctx context.Context) {
	interval := p.router.settings.Times.Report
	sleep(ctx, rand.N(interval))
	for n := 0; ctx.Err() == nil; n++ {
		p.pollLoad(ctx)
		if n%reportsPerCacheRead == 0 && p.spec.Service == "" {
			p.pollCacheEvents(ctx)
		}
		sleep(ctx, interval)
	}
}

func (p *poller) pollLoad(ctx context.Context) {
	requestedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := p.router.engine.FetchLoad(call, p.spec.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.router.postEvent(ctx, ctrl.LoadPollFailed{Endpoint: p.spec.ID})
		return
	}
	p.router.prefixes.ObserveBoot(p.spec.ID, load.Boot)
	p.router.postEvent(ctx, ctrl.LoadReported{Endpoint: p.spec.ID, RequestedAt: requestedAt, Load: load})
}

func (p *poller) pollCacheEvents(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := p.router.engine.FetchCacheEvents(call, p.spec.Address, p.lastSequence)
	if err != nil {
		return
	}
	events := make([]route.CacheEvent, 0, len(read.Events))
	for _, e := range read.Events {
		block, err := strconv.ParseUint(e.Block, blockHashBase, 64)
		if err != nil {
			continue
		}
		events = append(events, route.CacheEvent{Sequence: e.Sequence, Block: block, Stored: e.Stored})
	}
	p.lastSequence = read.LastSequence
	p.router.prefixes.Apply(p.spec.ID, events)
}
