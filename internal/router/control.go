package router

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// callTimeout limits one call made for the control thread.
	callTimeout = 2 * time.Second
)

// published is a head and the configuration that it describes.
type published struct {
	head   plat.Head
	config *fleet.Config
}

// controlLoop runs the control thread: it passes events to the control state
// machine, executes the returned actions and publishes views.
func (r *Router) controlLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.step(ctx, e)
		case <-timer.C:
			r.step(ctx, ctrl.Tick{})
			timer.Reset(r.control.TickInterval())
		}
	}
}

func (r *Router) step(ctx context.Context, e ctrl.Event) {
	now := time.Now()
	for _, a := range r.control.Step(now, e) {
		r.execute(ctx, a)
	}
	view := r.control.View(now)
	if view == nil {
		return
	}
	r.view.Store(view)
	r.gates.Refresh(now, view)
	r.loads.Retain(view.Snapshot)
	r.budget.SetRates(readRate(len(view.Routers)), writeRate(len(view.Routers)))
	r.journal.SetRouters(view.RouterIDs())
	r.peerPool.Retain(r.control.PeerAddresses())
	r.current.Store(&published{head: r.control.Head(), config: view.Config})
	r.stats.recordView(time.Since(now))
}

// execute starts an action. Actions that block run in a goroutine and post their
// result as an event.
func (r *Router) execute(ctx context.Context, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		go r.sendHeartbeat(ctx, a)
	case ctrl.ReadPlatform:
		go r.readPlatform(ctx)
	case ctrl.FetchConfig:
		go r.fetchConfig(ctx, a)
	case ctrl.ListInstances:
		go r.listInstances(ctx)
	case ctrl.Announce:
		go r.announce(ctx, a)
	case ctrl.PutRollout:
		go r.putJSON(ctx, plat.RolloutPrefix+plat.Key(a.State.Model), a.State, a.Expect)
	case ctrl.PutWithdrawn:
		go r.putJSON(ctx, plat.WithdrawnKey, a.List, a.Expect)
	case ctrl.PutLease:
		go r.putLease(ctx, a)
	case ctrl.ReadLease:
		go r.readLease(ctx, a)
	case ctrl.SendCommand:
		go r.sendCommand(ctx, a)
	case ctrl.ReadCommand:
		go r.readCommand(ctx, a)
	case ctrl.AnswerPermit:
		r.pending.resolve(a.CorrelationID, a)
	case ctrl.AnswerClaim:
		r.pending.resolve(a.CorrelationID, a)
	case ctrl.LogEvent:
		r.log.Info(a.Message, zap.String("release", a.Release.String()), zap.String("reason", a.Reason))
	}
}

// postEvent sends an event to the control thread, unless ctx ends first.
func (r *Router) postEvent(ctx context.Context, e ctrl.Event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// readPlatform reads all objects under the configuration prefix in one call.
func (r *Router) readPlatform(ctx context.Context) {
	requestedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := r.platform.List(call, plat.ClassConfig, plat.ConfigPrefix)
	if err != nil {
		r.postEvent(ctx, ctrl.PlatformReadFailed{Error: err})
		return
	}
	e, err := parseObjects(objects)
	if err == nil {
		e.RequestedAt = requestedAt
		e.Config, err = r.loadConfig(call, e.Head)
	}
	if err != nil {
		r.log.Warn("loading the current configuration failed", zap.Error(err))
		r.postEvent(ctx, ctrl.PlatformReadFailed{Error: err})
		return
	}
	r.postEvent(ctx, e)
}

// loadConfig returns the configuration of a head, or nil if this router has
// applied it already.
func (r *Router) loadConfig(ctx context.Context, head plat.Head) (*fleet.Config, error) {
	current := r.current.Load()
	if head.Generation == 0 || current != nil && current.head.Generation >= head.Generation {
		return nil, nil
	}
	r.readerLock.Lock()
	defer r.readerLock.Unlock()
	config, err := r.reader.Fetch(ctx, head)
	if err != nil {
		return nil, fmt.Errorf("loading generation %d: %w", head.Generation, err)
	}
	return config, nil
}

func parseObjects(objects []plat.Object) (ctrl.PlatformRead, error) {
	var e ctrl.PlatformRead
	for _, o := range objects {
		var err error
		switch {
		case o.Key == plat.HeadKey:
			err = json.Unmarshal(o.Value, &e.Head)
		case o.Key == plat.WithdrawnKey:
			e.Withdrawn.Version = o.Version
			err = json.Unmarshal(o.Value, &e.Withdrawn.List)
		default:
			rollout := ctrl.RolloutObject{Version: o.Version}
			err = json.Unmarshal(o.Value, &rollout.State)
			e.Rollouts = append(e.Rollouts, rollout)
		}
		if err != nil {
			return ctrl.PlatformRead{}, fmt.Errorf("decoding object %q: %w", o.Key, err)
		}
	}
	return e, nil
}

func (r *Router) listInstances(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instances, err := r.platform.Instances(call, plat.ClassStatus)
	if err != nil {
		r.log.Debug("listing instances", zap.Error(err))
		return
	}
	r.postEvent(ctx, ctrl.InstancesListed{Instances: instances})
}

func (r *Router) announce(ctx context.Context, a ctrl.Announce) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.platform.Announce(call, plat.ClassStatus, plat.Instance{
		ID:      string(a.Router.ID),
		Zone:    string(a.Router.Zone),
		Address: a.Router.Peer,
		Leaving: a.Router.Leaving,
	})
	if err != nil {
		r.log.Debug("announcing this router", zap.Error(err))
	}
}

func (r *Router) putJSON(ctx context.Context, key plat.Key, value any, expect plat.Version) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(value)
	if err == nil {
		_, err = r.platform.Put(call, plat.ClassConfig, key, text, expect)
	}
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		r.log.Warn("writing object", zap.String("key", string(key)), zap.Error(err))
	}
	r.postEvent(ctx, ctrl.ObjectWritten{Key: key, Error: err})
}

func (r *Router) putLease(ctx context.Context, a ctrl.PutLease) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := permit.WriteCompleted{Nonce: a.Lease.Nonce}
	text, err := json.Marshal(a.Lease)
	if err == nil {
		result.Version, err = r.platform.Put(call, plat.ClassClaim, permit.Key(a.Zone), text, a.Expect)
	}
	switch {
	case err == nil:
		result.Result = permit.ResultDone
	case errors.Is(err, plat.ErrConflict):
		result.Result = permit.ResultConflict
	case errors.Is(err, plat.ErrUnavailable):
		result.Result = permit.ResultFailed
	default:
		result.Result = permit.ResultUncertain
	}
	r.postEvent(ctx, ctrl.LeaseWritten{Zone: a.Zone, Result: result})
}

func (r *Router) readLease(ctx context.Context, a ctrl.ReadLease) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.getLease(call, a.Zone)
	if err != nil {
		r.postEvent(ctx, ctrl.LeaseReadFailed{Zone: a.Zone})
		return
	}
	r.postEvent(ctx, ctrl.LeaseRead{Zone: a.Zone, Lease: lease})
}

func (r *Router) getLease(ctx context.Context, zone ident.ZoneID) (permit.LeaseRead, error) {
	object, err := r.platform.Get(ctx, plat.ClassConfig, permit.Key(zone))
	if errors.Is(err, plat.ErrNotFound) {
		return permit.LeaseRead{}, nil
	}
	if err != nil {
		return permit.LeaseRead{}, fmt.Errorf("reading lease of zone %q: %w", zone, err)
	}
	lease := permit.LeaseRead{Version: object.Version}
	if err := json.Unmarshal(object.Value, &lease.Lease); err != nil {
		return permit.LeaseRead{}, fmt.Errorf("decoding lease of zone %q: %w", zone, err)
	}
	return lease, nil
}

// watchLoop watches the configuration objects and triggers a read when they
// change. It pauses while another router reads the platform for the zone.
func (r *Router) watchLoop(ctx context.Context) error {
	var after plat.Version
	for ctx.Err() == nil {
		if !r.readsPlatform() {
			sleep(ctx, time.Second)
			continue
		}
		changes, version, err := r.platform.Watch(ctx, plat.ClassConfig, plat.ConfigPrefix, after, r.settings.Times.Watch)
		if err != nil {
			sleep(ctx, time.Second)
			continue
		}
		after = version
		if len(changes) > 0 {
			r.postEvent(ctx, ctrl.ConfigChanged{})
		}
	}
	return nil
}

func (r *Router) readsPlatform() bool {
	v := r.view.Load()
	return v == nil || v.ReadsPlatform
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
