package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// call is one caller's request in progress.
type call struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	ask       Ask
	arrived   time.Time
	route     *paths.Route
	team      *paths.Team // nil on an anonymous route
	body      []byte
	request   pass.Request
	machine   *pass.Course
	exchanges []*exchange
	placed    []placement
	opened    pass.Attempt // that began a stream's answer
	events    chan pass.Event
	done      chan struct{}
	timer     *time.Timer
	wakes     []time.Time
	first     time.Duration
	next      time.Duration // foreseen to the answer of the next model
	sent      int
	aborted   bool
}

// placement is what is noted of an attempt's place until its first answer.
type placement struct {
	endpoint ident.EndpointID
	first    time.Time // when its first answer came
	model    ident.ModelID
	work     time.Duration // expected of the endpoint
	settled  bool
}

// read takes in the request's body, or refuses it.
func (c *call) read(limits paths.Limits) bool {
	if c.r.ContentLength == 0 {
		return true
	}
	body := c.r.Body
	if limits.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(c.w, body, int64(limits.MaxBodyBytes))
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.limit(c.route)) // supported by every server connection
	data, err := io.ReadAll(body)
	_ = control.SetReadDeadline(time.Time{}) // as above
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		c.refuse(http.StatusRequestEntityTooLarge, 0, "request body is too long")
		return false
	case err != nil:
		c.refuse(http.StatusRequestTimeout, 0, "request body did not come whole: "+err.Error())
		return false
	}
	c.body = data
	return true
}

// course drives the request's course to its end.
func (c *call) course(ctx context.Context, q pass.Request) {
	s := c.server
	c.request = q
	c.events, c.done = make(chan pass.Event, 4), make(chan struct{})
	defer close(c.done)
	budget := s.budget(q.Service)
	budget.Earn(c.arrived)
	c.machine = pass.New(q, pass.Ladder(q), budget)
	c.timer = time.NewTimer(time.Hour)
	defer c.timer.Stop()
	c.apply(c.machine.Step(c.arrived, pass.Begin{}))
	for !c.machine.Over() {
		select {
		case e := <-c.events:
			c.settle(e)
			c.step(c.foresee(e))
		case <-c.timer.C:
			c.wakes = c.wakes[1:]
			c.arm()
			c.step(pass.Woken{})
		case <-ctx.Done():
			c.step(pass.Left{})
		}
	}
	if c.aborted {
		panic(http.ErrAbortHandler) // closes the connection without an end
	}
}

func (c *call) step(e pass.Event) { c.apply(c.machine.Step(c.server.clock(), e)) }

func (c *call) apply(actions []pass.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case pass.Place:
			c.place(x)
		case pass.Dispatch:
			c.dispatch(x)
		case pass.Open:
			c.open(x)
		case pass.Emit:
			c.emit(x)
		case pass.Close:
			c.log("answered", zap.Int("status", http.StatusOK), zap.Int("events", c.sent))
		case pass.Reply:
			c.reply(x)
		case pass.Refuse:
			c.refuse(x.Status, x.After, string(x.Reason))
		case pass.Abort:
			c.aborted = true
			c.warn("broken off", zap.String("reason", string(x.Reason)), zap.Int("events", c.sent))
		case pass.Cancel:
			c.exchanges[x.Attempt].cancel()
		case pass.Escalate:
			c.log("larger model asked", zap.Int("attempt", int(x.Attempt)), zap.Int("confidence", x.Doubt.Confidence),
				zap.Duration("next", x.Doubt.Next), zap.Duration("work", x.Doubt.Work))
		case pass.Wake:
			c.wake(x.At)
		case pass.Report:
			c.report(x)
		}
	}
}

// dispatch starts an attempt.
func (c *call) dispatch(d pass.Dispatch) {
	now := c.server.clock()
	send := Send{
		Endpoint: d.Endpoint, Team: c.request.Team, Model: d.Model, Left: c.request.Limit.Sub(now),
		After: d.After, Urgency: -1,
	}
	if s := c.server.control.View().Config.Services[c.request.Service]; s != nil && s.CacheTokens > 0 {
		send.Urgency = c.machine.Urgency(d)
	}
	h := passOn(c.r.Header)
	c.server.dialect.Send(h, send)
	ctx, cancel := background(c.request.Limit)
	x := &exchange{
		number: d.Attempt, id: c.request.ID, endpoint: d.Endpoint, method: c.r.Method,
		head: requestHead(c.r, h, len(c.body)), body: c.body, once: !c.route.Repeatable(),
		cancel: cancel, started: now,
	}
	c.exchanges = append(c.exchanges, x)
	go func() {
		defer cancel()
		x.run(ctx, c.server.links, c.server.dialect, c.tell)
	}()
}

// tell hands an attempt's event over, unless the request is over.
func (c *call) tell(e pass.Event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// settle notes an attempt's first answer.
func (c *call) settle(e pass.Event) {
	switch x := e.(type) {
	case pass.Headed:
		c.settled(x.Attempt)
	case pass.Answered:
		c.settled(x.Attempt)
		if x.Head.NotRun || x.Head.Foreign {
			c.warn("attempt turned away", zap.Int("attempt", int(x.Attempt)), zap.Int("status", x.Head.Status),
				zap.String("endpoint", string(c.placed[x.Attempt].endpoint)), zap.Duration("after", x.Head.After))
		}
	case pass.Ended:
		if p := c.placed[x.Attempt]; x.Attempt == c.opened { // else a part of the answer came from elsewhere
			c.server.tempo.RecordGeneration(p.model, c.request.Output, c.server.clock().Sub(p.first))
		}
	case pass.Broken:
		c.warn("attempt broke", zap.Int("attempt", int(x.Attempt)), zap.Bool("sent", x.Sent),
			zap.String("endpoint", string(c.placed[x.Attempt].endpoint)), zap.Error(c.exchanges[x.Attempt].cause))
	}
}

func (c *call) settled(n pass.Attempt) {
	p := &c.placed[n]
	if !p.settled {
		p.settled, p.first = true, c.server.clock()
		c.server.tempo.RemovePending(p.endpoint, p.model, p.work)
	}
}

// report passes on how an attempt fared.
func (c *call) report(r pass.Report) {
	now := c.server.clock()
	c.settled(r.Attempt)
	s := c.server
	if r.Silent {
		c.warn("attempt given up", zap.Int("attempt", int(r.Attempt)), zap.String("endpoint", string(r.Endpoint.ID)),
			zap.Duration("silent", r.Took), zap.Duration("expected", r.Base))
	}
	s.loads.End(now, r.Endpoint.ID, r.Outcome)
	if r.First > 0 {
		s.loads.FirstToken(now, r.Endpoint.ID, r.Base, r.First)
		if !s.control.View().IsRolloutTarget(r.Endpoint.Service, r.Endpoint.Version) {
			s.tempo.RecordFirstEvent(c.modelOr(r.Model), r.Uncached, r.First)
		}
	}
	if r.Outcome == route.OutcomeDone || r.Outcome == route.OutcomeFailed {
		s.tempo.RecordOutcome(now, r.Endpoint.ID, r.Failed || r.Silent)
	}
	s.control.Observe(now, c.route.ID, c.session(), r)
}

// wake arms the timer for a time.
func (c *call) wake(at time.Time) {
	i := len(c.wakes)
	for i > 0 && at.Before(c.wakes[i-1]) {
		i--
	}
	c.wakes = append(c.wakes, time.Time{})
	copy(c.wakes[i+1:], c.wakes[i:])
	c.wakes[i] = at
	c.arm()
}

func (c *call) arm() {
	if len(c.wakes) > 0 {
		c.timer.Reset(max(0, c.wakes[0].Sub(c.server.clock())))
	}
}
