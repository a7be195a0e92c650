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
	// callTimeout bounds one call of the control thread's drivers.
	callTimeout = 2 * time.Second
)

// published is the head with its configuration.
type published struct {
	head   plat.Head
	config *fleet.Config
}

// controlLoop is the control thread: it steps the machine, starts what that
// asks for and publishes views.
func (r *Router) controlLoop(ctx context.Context) error {
	ticker := time.NewTimer(0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.step(ctx, e)
		case <-ticker.C:
			r.step(ctx, ctrl.Tick{})
			ticker.Reset(r.control.TickInterval())
		}
	}
}

func (r *Router) step(ctx context.Context, e ctrl.Event) {
	now := time.Now()
	for _, a := range r.control.Step(now, e) {
		r.act(ctx, a)
	}
	view := r.control.View(now)
	if view == nil {
		return
	}
	r.view.Store(view)
	r.gates.Refresh(now, view)
	r.table.Retain(view.Snapshot)
	r.budget.SetRates(readShare(len(view.Routers)), writeShare(len(view.Routers)))
	r.journal.SetRouters(view.RouterIDs())
	r.links.Retain(r.control.PeerAddresses())
	r.known.Store(&published{head: r.control.Head(), config: view.Config})
	r.stats.control(time.Since(now))
}

// act starts an action; what takes time runs in a goroutine of its own and
// ends in an event.
func (r *Router) act(ctx context.Context, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		go r.sendBeat(ctx, a)
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
	case ctrl.SendOrder:
		go r.sendOrder(ctx, a)
	case ctrl.ReadOrder:
		go r.readOrder(ctx, a)
	case ctrl.AnswerPermit:
		r.asked.answer(a.CorrelationID, a)
	case ctrl.AnswerClaim:
		r.asked.answer(a.CorrelationID, a)
	case ctrl.LogEvent:
		r.log.Info(a.Message, zap.String("release", a.Release.String()), zap.String("reason", a.Reason))
	}
}

// post hands an event back, unless the router has stopped.
func (r *Router) post(ctx context.Context, e ctrl.Event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// readPlatform reads every object under the configuration prefix at once.
func (r *Router) readPlatform(ctx context.Context) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := r.platform.List(call, plat.ClassConfig, plat.ConfigPrefix)
	if err != nil {
		r.post(ctx, ctrl.PlatformReadFailed{Error: err})
		return
	}
	e, err := parseObjects(objects)
	if err == nil {
		e.RequestedAt = asked
		e.Config, err = r.compile(call, e.Head)
	}
	if err != nil {
		r.log.Warn("configuration in force does not load", zap.Error(err))
		r.post(ctx, ctrl.PlatformReadFailed{Error: err})
		return
	}
	r.post(ctx, e)
}

// compile gives the configuration of a head, or nil if it is in force already.
func (r *Router) compile(ctx context.Context, head plat.Head) (*fleet.Config, error) {
	known := r.known.Load()
	if head.Generation == 0 || known != nil && known.head.Generation >= head.Generation {
		return nil, nil
	}
	r.reading.Lock()
	defer r.reading.Unlock()
	config, err := r.reader.Fetch(ctx, head)
	if err != nil {
		return nil, fmt.Errorf("compiling generation %d: %w", head.Generation, err)
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
	r.post(ctx, ctrl.InstancesListed{Instances: instances})
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
	r.post(ctx, ctrl.ObjectWritten{Key: key, Error: err})
}

func (r *Router) putLease(ctx context.Context, a ctrl.PutLease) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	wrote := permit.WriteCompleted{Nonce: a.Lease.Nonce}
	text, err := json.Marshal(a.Lease)
	if err == nil {
		wrote.Version, err = r.platform.Put(call, plat.ClassClaim, permit.Key(a.Zone), text, a.Expect)
	}
	switch {
	case err == nil:
		wrote.Result = permit.ResultDone
	case errors.Is(err, plat.ErrConflict):
		wrote.Result = permit.ResultConflict
	case errors.Is(err, plat.ErrUnavailable):
		wrote.Result = permit.ResultFailed
	default:
		wrote.Result = permit.ResultUncertain
	}
	r.post(ctx, ctrl.LeaseWritten{Zone: a.Zone, Result: wrote})
}

func (r *Router) readLease(ctx context.Context, a ctrl.ReadLease) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := r.lease(call, a.Zone)
	if err != nil {
		r.post(ctx, ctrl.LeaseReadFailed{Zone: a.Zone})
		return
	}
	r.post(ctx, ctrl.LeaseRead{Zone: a.Zone, Lease: read})
}

func (r *Router) lease(ctx context.Context, zone ident.ZoneID) (permit.LeaseRead, error) {
	object, err := r.platform.Get(ctx, plat.ClassConfig, permit.Key(zone))
	if errors.Is(err, plat.ErrNotFound) {
		return permit.LeaseRead{}, nil
	}
	if err != nil {
		return permit.LeaseRead{}, fmt.Errorf("reading lease of zone %q: %w", zone, err)
	}
	read := permit.LeaseRead{Version: object.Version}
	if err := json.Unmarshal(object.Value, &read.Lease); err != nil {
		return permit.LeaseRead{}, fmt.Errorf("decoding lease of zone %q: %w", zone, err)
	}
	return read, nil
}

// watchLoop waits for changes of the configuration's objects, where this
// router reads for its zone, and has them read at once.
func (r *Router) watchLoop(ctx context.Context) error {
	var after plat.Version
	for ctx.Err() == nil {
		if !r.reads() {
			pause(ctx, time.Second)
			continue
		}
		changes, upto, err := r.platform.Watch(ctx, plat.ClassConfig, plat.ConfigPrefix, after, r.settings.Times.Watch)
		if err != nil {
			pause(ctx, time.Second)
			continue
		}
		after = upto
		if len(changes) > 0 {
			r.post(ctx, ctrl.ConfigChanged{})
		}
	}
	return nil
}

func (r *Router) reads() bool {
	v := r.view.Load()
	return v == nil || v.ReadsPlatform
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
