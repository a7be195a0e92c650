package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// call is one request of a caller in progress.
type call struct {
	server        *Server
	w             http.ResponseWriter
	r             *http.Request
	head          RequestHead
	arrived       time.Time
	route         *paths.Route
	team          *paths.Team  // nil on an anonymous route
	conn          *inlet.Conn  // nil if no inlet.Listener has accepted it
	body          *requestBody // nil if there is none, or it has not been read
	request       proxy.Request
	subject       poison.Subject
	fatalPart     string // part of the prompt for which the request is refused, "" if none
	state         *proxy.Machine
	budget        *retry.WindowBudget
	exchanges     []*exchange
	placements    []placement
	streamAttempt proxy.Attempt // attempt whose response opened the caller's stream
	events        chan proxy.Event
	done          chan struct{}
	timer         *time.Timer
	wakeTimes     []time.Time
	firstDelay    time.Duration // from arrival to the start of the response
	nextDelay     time.Duration // expected time to the next model's response
	sentEvents    int
	unsentHead    *http.Response // of the open stream, nil once it was sent
	aborted       bool
	handedOver    bool             // by another router
	handoffs      []ident.RouterID // that the request was handed over to
	broken        bool             // its body was not read to the end
	unreached     int              // endpoints that it did not reach
}

// placement records where an attempt was placed, and when it was answered.
type placement struct {
	endpoint  ident.EndpointID
	answered  time.Time // when the response started
	model     ident.ModelID
	work      time.Duration // expected work of the endpoint
	hasAnswer bool
}

// run drives the state machine of the request until it is over.
func (c *call) run(ctx context.Context, q proxy.Request) {
	s := c.server
	q.Worth = s.sizes.Worth(q.Route.ID, q.PromptTokens, q.MaxOutputTokens)
	q.MeanObjective = s.objectives.Mean(q.Service, q.Route.TargetLatency)
	c.request = q
	c.subject = poison.Subject{
		Fingerprint: poison.RequestFingerprint(q.Team, c.r.Method, routeHost(c.r), requestTarget(c.r), c.body.data()...),
		Service:     q.Service, Parts: sharedParts(q.Parts),
	}
	c.events, c.done = make(chan proxy.Event, 4), make(chan struct{})
	defer c.end()
	c.budget = s.retryBudget(q.Service)
	if !c.handedOver {
		c.budget.RecordFirst(c.arrived)
	}
	c.state = proxy.New(q, proxy.CascadeModels(q), c.budget)
	c.timer = time.NewTimer(time.Hour)
	defer c.timer.Stop()
	crashes := s.control.CrashesChanged()
	c.apply(c.state.Step(c.arrived, proxy.Start{}))
	for !c.state.Done() {
		select {
		case <-crashes:
			crashes = s.control.CrashesChanged()
			if reason := c.fatalReason(s.clock()); reason != "" {
				c.step(proxy.FoundFatal{Reason: reason, RetryAfter: fatalRetryAfter})
			}
		case e := <-c.events:
			e = c.interpretHandoff(e)
			c.recordEvent(e)
			c.step(c.addEscalationEstimate(e))
		case <-c.timer.C:
			c.wakeTimes = c.wakeTimes[1:]
			c.resetTimer()
			c.step(proxy.TimerFired{})
		case <-ctx.Done():
			c.step(proxy.CallerGone{})
		}
	}
	if c.aborted {
		panic(http.ErrAbortHandler) // closes the connection without ending the response
	}
}

// end ends the request and gives the memory of its responses back.
func (c *call) end() {
	close(c.done)
	c.observeUnread()
	for _, x := range c.exchanges {
		x.memory.release()
	}
	c.body.release()
}

func (c *call) step(e proxy.Event) { c.apply(c.state.Step(c.server.clock(), e)) }

func (c *call) apply(actions []proxy.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case proxy.SelectEndpoint:
			c.placeAttempt(x)
		case proxy.Dispatch:
			c.dispatch(x)
		case proxy.OpenStream:
			c.openStream(x)
		case proxy.EmitEvent:
			c.writeEvent(x)
		case proxy.CloseStream:
			c.sendHead()
			c.log("answered", zap.Int("status", http.StatusOK), zap.Int("events", c.sentEvents))
		case proxy.Reply:
			c.writeResponse(x)
		case proxy.Refuse:
			c.refuse(x.Status, x.RetryAfter, string(x.Reason))
		case proxy.Abort:
			c.abort(x.Reason)
		case proxy.Cancel:
			c.exchanges[x.Attempt].withdraw()
		case proxy.Escalate:
			c.log("larger model asked", zap.Int("attempt", int(x.Attempt)), zap.Int("confidence", x.Factors.Confidence),
				zap.Duration("next", x.Factors.NextLatency), zap.Duration("work", x.Factors.NextServiceTime))
		case proxy.SetTimer:
			c.scheduleWake(x.At)
		case proxy.Report:
			c.recordReport(x)
		}
	}
}

// dispatch sends an attempt to its endpoint.
func (c *call) dispatch(d proxy.Dispatch) {
	now := c.server.clock()
	head := AttemptHead{
		Endpoint: d.Endpoint, Team: c.request.Team, Model: d.Model, Remaining: c.request.Deadline.Sub(now),
		LastEventID: d.LastEventID, Urgency: -1,
	}
	if s := c.server.control.View().Config.Services[c.request.Service]; s != nil && s.CacheTokens > 0 {
		head.Urgency = c.state.Urgency(d)
	}
	h := endToEndHeaders(c.r.Header)
	if isRouter(d.Endpoint.ID) {
		c.setHandoffHeaders(h, d, head.Remaining)
	} else {
		c.server.codec.SetAttemptHeaders(h, head)
	}
	ctx, cancel := attemptContext(c.request.Deadline)
	x := &exchange{
		attempt: d.Attempt, requestID: c.request.ID, endpoint: d.Endpoint, method: c.r.Method,
		head: encodeRequestHead(c.r, h, c.body.len()), body: c.body, mustNotRepeat: !c.route.Repeatable(),
		cancel: cancel, started: now, memory: holding{budget: &c.server.buffer},
	}
	switch a := d.Allowance; {
	case a.At.IsZero():
	case a.Opinion:
		x.onSend = func(now time.Time) { c.budget.Sent(a.At, now) }
	default:
		x.onSend = func(now time.Time) { c.budget.SentUnread(a.At, now) }
		x.onRead = c.budget.Read
	}
	c.exchanges = append(c.exchanges, x)
	c.body.retain()
	go func() {
		defer cancel()
		x.run(ctx, c.server.pool, c.server.codec, c.sendEvent)
		select {
		case <-c.done: // nobody takes the response
			x.memory.release()
		default:
		}
	}()
}

// sendEvent passes an attempt's event to run. If the request is over, the event only
// tells how the endpoint fared.
func (c *call) sendEvent(e proxy.Event) {
	select {
	case <-c.done:
		c.observeLateEnd(e)
		return
	default:
	}
	select {
	case c.events <- e:
		select {
		case <-c.done:
			c.observeUnread() // run may have ended just before
		default:
		}
	case <-c.done:
		c.observeLateEnd(e)
	}
}

// recordEvent logs and measures an attempt's event.
func (c *call) recordEvent(e proxy.Event) {
	switch x := e.(type) {
	case proxy.HeadReceived:
		c.recordContact(x.Attempt, true, nil)
		c.observeLife(x.Attempt)
		c.recordAnswer(x.Attempt)
		c.recordNotices(x.Attempt, x.Head)
	case proxy.ResponseReceived:
		c.recordContact(x.Attempt, true, nil)
		c.recordAnswer(x.Attempt)
		c.recordTurnedAway(x.Attempt, x.Head)
	case proxy.LateHead:
		c.recordContact(x.Attempt, true, nil)
		c.recordTurnedAway(x.Attempt, x.Head)
	case proxy.StreamEnded:
		if p := c.placements[x.Attempt]; x.Attempt == c.streamAttempt && !isRouter(p.endpoint) { // otherwise part of the response came from another attempt
			c.server.estimator.RecordGeneration(p.model, c.request.MaxOutputTokens, c.server.clock().Sub(p.answered))
		}
	case proxy.AttemptFailed:
		if c.exchanges[x.Attempt].began.IsZero() {
			c.recordContact(x.Attempt, false, c.exchanges[x.Attempt].cause)
		}
		c.observeRefusal(c.exchanges[x.Attempt])
		if e := c.exchanges[x.Attempt].endpoint; x.Refused && !isRouter(e.ID) {
			c.server.reach.Unconnected(c.server.clock(), e.Service, e.ID)
		}
		c.warn("attempt broke", zap.Int("attempt", int(x.Attempt)), zap.Bool("sent", x.Sent),
			zap.String("endpoint", string(c.placements[x.Attempt].endpoint)), zap.Error(c.exchanges[x.Attempt].cause))
	}
}

// recordTurnedAway records what an endpoint says of itself in an answer, and logs an answer
// that says that the attempt did not run.
func (c *call) recordTurnedAway(n proxy.Attempt, h proxy.ResponseHead) {
	c.recordNotices(n, h)
	if h.NotRun || h.WrongEndpoint {
		c.warn("attempt turned away", zap.Int("attempt", int(n)), zap.Int("status", h.Status),
			zap.String("endpoint", string(c.placements[n].endpoint)), zap.Duration("after", h.RetryAfter))
	}
}

// recordNotices records what an endpoint says of itself in an answer.
func (c *call) recordNotices(n proxy.Attempt, h proxy.ResponseHead) {
	if isRouter(c.exchanges[n].endpoint.ID) {
		return // another router has seen it
	}
	now, e := c.server.clock(), c.exchanges[n].endpoint
	if h.WrongEndpoint {
		c.server.control.ObserveLimit(now, e, route.EndpointLimit{Replaced: true})
		return // the other notices are another endpoint's
	}
	c.server.control.ObserveLimit(now, e, route.EndpointLimit{Limited: h.Limited, Rate: h.Limit, Brittle: h.Brittle})
	if h.Leaving && !e.Leaving {
		c.server.control.ObserveLeaving(now, e)
	}
	if h.Status == http.StatusServiceUnavailable && h.RetryAfter > 0 {
		c.server.pauses.Pause(now, e.ID, e.StartedMillis, h.RetryAfter)
	}
	if h.NotRun && h.Brittle {
		c.server.pauses.Pause(now, e.ID, e.StartedMillis, brittlePause)
	}
}

// brittlePause is how long a brittle endpoint that has turned a request away gets none
// from this router. What it tolerates is counted by the second.
const brittlePause = time.Second

func (c *call) recordAnswer(n proxy.Attempt) {
	p := &c.placements[n]
	if !p.hasAnswer && !isRouter(p.endpoint) {
		p.hasAnswer, p.answered = true, c.server.clock()
		c.server.estimator.RemovePending(p.endpoint, p.model, p.work)
	}
}

// recordReport records the result of an attempt in the load table, the latency
// model and the shared state.
func (c *call) recordReport(r proxy.Report) {
	now := c.server.clock()
	c.recordAnswer(r.Attempt)
	s := c.server
	if r.Handoff {
		return
	}
	if r.Unresponsive {
		c.recordContact(r.Attempt, false, nil)
		c.warn("attempt given up", zap.Int("attempt", int(r.Attempt)), zap.String("endpoint", string(r.Endpoint.ID)),
			zap.Duration("silent", r.Duration), zap.Duration("expected", r.BaseEstimate),
			zap.Uint64("fingerprint", uint64(c.subject.Fingerprint)), zap.String("boot", incarnationOf(r.Endpoint).BootID))
	}
	s.loads.End(now, r.Endpoint.ID, r.Outcome)
	if r.FirstLatency > 0 {
		s.loads.FirstToken(now, r.Endpoint.ID, r.BaseEstimate, r.FirstLatency)
		if !s.control.View().IsRolloutTarget(r.Endpoint.Service, r.Endpoint.Version) {
			s.estimator.RecordFirstEvent(c.timingModel(r.Model), r.UncachedTokens, r.FirstLatency)
		}
	}
	if r.Outcome == route.OutcomeDone || r.Outcome == route.OutcomeFailed {
		s.estimator.RecordOutcome(now, r.Endpoint.ID, r.Failed || r.Unresponsive)
	}
	s.control.Observe(now, c.route.ID, c.sessionKey(), r)
	c.observeRun(now, r)
}

// observeRun reports a run that an endpoint has answered, or that ended with the
// connection. Other ends do not tell whether the endpoint lives.
func (c *call) observeRun(now time.Time, r proxy.Report) {
	answered := r.FirstLatency > 0 && (r.Outcome == route.OutcomeDone || r.Outcome == route.OutcomeFailed)
	if !r.Disconnected && !answered && !r.Withdrawn {
		return
	}
	end := poison.RunEnd{
		Subject: c.subject, Started: r.Started, Broke: r.Disconnected, Complete: r.Complete, Withdrawn: r.Withdrawn,
		Incarnation: incarnationOf(r.Endpoint),
	}
	switch {
	case !r.Withdrawn:
		end.Began = c.exchanges[r.Attempt].began
	case r.FirstLatency > 0: // the exchange may go on at this moment
		end.Began = r.Started.Add(r.FirstLatency)
	}
	c.server.control.ObserveRun(now, end)
}

// observeLateEnd reports how a run ended that went on after its caller had left, and
// records what its endpoint says of itself in the answer.
func (c *call) observeLateEnd(e proxy.Event) {
	var x *exchange
	var complete bool
	switch e := e.(type) {
	case proxy.ResponseReceived:
		c.recordTurnedAway(e.Attempt, e.Head)
		x, complete = c.exchanges[e.Attempt], !e.Head.NotRun && !e.Head.WrongEndpoint && e.Head.Status < http.StatusInternalServerError
	case proxy.AttemptFailed:
		if !e.Sent {
			return
		}
		x = c.exchanges[e.Attempt]
	case proxy.LateHead:
		c.recordTurnedAway(e.Attempt, e.Head)
		return
	default:
		return
	}
	if isRouter(x.endpoint.ID) {
		return
	}
	_, broke := e.(proxy.AttemptFailed)
	c.server.control.ObserveRun(c.server.clock(), poison.RunEnd{
		Subject: c.subject, Incarnation: incarnationOf(x.endpoint), Started: x.started, Began: x.began, Broke: broke, Complete: complete,
	})
}

// observeUnread reports the ends of attempts that came too late to be read.
func (c *call) observeUnread() {
	for {
		select {
		case e := <-c.events:
			c.observeLateEnd(e)
		default:
			return
		}
	}
}

// observeRefusal reports that an endpoint has ended, if a new connection was refused.
func (c *call) observeRefusal(x *exchange) {
	if errors.Is(x.cause, syscall.ECONNREFUSED) && !isRouter(x.endpoint.ID) {
		c.server.control.ObserveEnd(c.server.clock(), incarnationOf(x.endpoint))
	}
}

// observeLife reports that an endpoint has begun an answer, so that it lives.
func (c *call) observeLife(n proxy.Attempt) {
	x := c.exchanges[n]
	if isRouter(x.endpoint.ID) {
		return
	}
	c.server.control.ObserveRun(c.server.clock(), poison.RunEnd{Subject: c.subject, Incarnation: incarnationOf(x.endpoint), Started: x.started, Began: x.began})
}

func incarnationOf(e *world.Endpoint) poison.Incarnation {
	return poison.Incarnation{Endpoint: e.ID, BootID: strconv.FormatInt(e.StartedMillis, 10)}
}

// sharedParts returns the ids of the parts of a prompt that other requests may share,
// all but the last.
func sharedParts(parts []route.PromptPart) []string {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]string, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// scheduleWake adds a time at which the state machine must be woken.
func (c *call) scheduleWake(at time.Time) {
	i := len(c.wakeTimes)
	for i > 0 && at.Before(c.wakeTimes[i-1]) {
		i--
	}
	c.wakeTimes = append(c.wakeTimes, time.Time{})
	copy(c.wakeTimes[i+1:], c.wakeTimes[i:])
	c.wakeTimes[i] = at
	c.resetTimer()
}

func (c *call) resetTimer() {
	if len(c.wakeTimes) > 0 {
		c.timer.Reset(max(0, c.wakeTimes[0].Sub(c.server.clock())))
	}
}
