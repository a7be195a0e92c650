package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
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
	work     time.Duration // expected of the endpoint
	settled  bool
}

// read takes in the request's body, or refuses it.
func (c *call) read(limits paths.Limits) bool {
	if c.r.ContentLength == 0 {
		return true
	}
	body := c.r.Body
	if limits.Body > 0 {
		body = http.MaxBytesReader(c.w, body, int64(limits.Body))
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

// place chooses the endpoint of an attempt. A version on trial that cannot
// answer, or has just failed the request, gives way to the one it replaces.
func (c *call) place(p pass.Place) {
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.Version(now, view, c.request.Service, c.request.Seed, c.session())
	errand := c.errand(now, p.Model, p.Exclude)
	sites, endpoints := c.sites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	if pick.Site < 0 && view.OnTrial(c.request.Service, version) {
		sites, endpoints = c.sites(now, view, view.Stable(c.request.Service))
		pick = c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	}
	if pick.Site < 0 {
		c.step(pass.Unplaced{Attempt: p.Attempt, After: pick.After, Late: pick.Late})
		return
	}
	e := endpoints[pick.Site]
	c.log("placed", zap.Int("attempt", int(p.Attempt)), zap.String("endpoint", string(e.ID)),
		zap.String("zone", string(e.Zone)), zap.String("version", string(e.Version)), zap.String("model", string(p.Model)),
		zap.Duration("expected", pick.Expected), zap.Int64("uncached", int64(pick.Uncached)), zap.Int("sites", len(sites)), zap.String("session", string(c.request.Session)))
	c.placed = append(c.placed, placement{endpoint: e.ID, work: pick.Work})
	c.server.loads.Start(now, e.ID)
	c.server.tempo.Start(e.ID, pick.Work)
	if n := len(c.request.Parts); n > 1 {
		c.server.prefixes.Sent(e.ID, route.Chain(errand.Model, c.request.Parts[:n-1]))
	}
	c.step(pass.Placed{Attempt: p.Attempt, Endpoint: e, Expected: pick.Expected, Base: pick.Base, Work: pick.Work, Uncached: pick.Uncached})
}

func (c *call) errand(now time.Time, model ident.ModelID, exclude []ident.EndpointID) route.Errand {
	return route.Errand{
		Seed: c.request.Seed, Zone: c.server.settings.Zone, Model: c.modelOr(model),
		Prompt: c.request.Prompt, Parts: c.request.Parts, Size: len(c.body),
		Exclude: exclude, Left: c.request.Limit.Sub(now),
		Others: func(id ident.EndpointID) time.Duration { return c.server.control.Others(now, id) },
	}
}

// foresee adds to a stream's head how soon the next model would answer.
func (c *call) foresee(e pass.Event) pass.Event {
	h, ok := e.(pass.Headed)
	if !ok {
		return e
	}
	next := c.machine.Next()
	if next == "" {
		return e
	}
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.Version(now, view, c.request.Service, c.request.Seed, c.session())
	sites, _ := c.sites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, c.errand(now, next, nil), c.server.loads, c.server.prefixes)
	if pick.Site < 0 {
		h.Next = c.request.Limit.Sub(now) // nobody can answer in time
		return h
	}
	h.Next, h.Work = pick.Expected, pick.Work
	c.next = pick.Expected
	return h
}

// modelOr names what the time of an answer depends on: the model, or the
// service if there is none.
func (c *call) modelOr(m ident.ModelID) ident.ModelID {
	switch {
	case m != "":
		return m
	case c.request.Model != "":
		return c.request.Model
	}
	return ident.ModelID(c.request.Service)
}

// session names the caller's session over all teams.
func (c *call) session() ident.SessionKey {
	return ident.SessionKey{Team: c.request.Team, Session: c.request.Session}
}

// sites lists the endpoints of a version that may get the request: those in an
// allowed region, and cold ones only if there is no other.
func (c *call) sites(now time.Time, view *world.View, version ident.VersionID) ([]route.Site, []*world.Endpoint) {
	var sites, cold []route.Site
	var warmly, coldly []*world.Endpoint
	for _, e := range view.Candidates(now, c.request.Service, version) {
		if !c.home(e.Zone) {
			continue
		}
		site := route.Site{
			Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), New: view.OnTrial(e.Service, e.Version),
		}
		if site.Cold && c.coldRate(view) > 0 {
			cold, coldly = append(cold, site), append(coldly, e)
			continue
		}
		sites, warmly = append(sites, site), append(warmly, e)
	}
	if len(sites) > 0 || len(cold) == 0 {
		return sites, warmly
	}
	rate, routers := c.coldRate(view), c.server.control.Routers()
	for i := range cold {
		if c.server.cold.Take(now, cold[i].Endpoint, rate, routers) {
			return cold[i : i+1], coldly[i : i+1]
		}
	}
	return nil, nil
}

func (c *call) coldRate(view *world.View) float64 {
	if s := view.Config.Services[c.request.Service]; s != nil {
		return s.ColdRate
	}
	return 0
}

// home tells whether the request may run in a zone.
func (c *call) home(zone ident.ZoneID) bool {
	region := c.server.settings.Regions[zone]
	if !allows(c.route.Regions, region) {
		return false
	}
	return c.team == nil || allows(c.team.Regions, region)
}

func allows(list []ident.RegionID, region ident.RegionID) bool {
	for _, r := range list {
		if r == region {
			return true
		}
	}
	return len(list) == 0
}

// dispatch starts an attempt.
func (c *call) dispatch(d pass.Dispatch) {
	now := c.server.clock()
	send := Send{
		Endpoint: d.Endpoint, Team: c.request.Team, Model: d.Model, Left: c.request.Limit.Sub(now),
		After: d.After, Urgency: -1,
	}
	if s := c.server.control.View().Config.Services[c.request.Service]; s != nil && s.Capacity > 0 {
		send.Urgency = c.request.Priority
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
	case pass.Broken:
		c.warn("attempt broke", zap.Int("attempt", int(x.Attempt)), zap.Bool("sent", x.Sent),
			zap.String("endpoint", string(c.placed[x.Attempt].endpoint)), zap.Error(c.exchanges[x.Attempt].cause))
	}
}

func (c *call) settled(n pass.Attempt) {
	p := &c.placed[n]
	if !p.settled {
		p.settled = true
		c.server.tempo.Settle(p.endpoint, p.work)
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
		s.loads.First(now, r.Endpoint.ID, r.Base, r.First)
		if !s.control.View().OnTrial(r.Endpoint.Service, r.Endpoint.Version) {
			s.tempo.Measure(c.modelOr(r.Model), r.Uncached, r.First)
		}
	}
	if r.Outcome == route.OutcomeDone || r.Outcome == route.OutcomeFailed {
		s.tempo.Outcome(now, r.Endpoint.ID, r.Failed || r.Silent)
	}
	s.control.Observe(now, c.route.ID, c.session(), r)
}

// open sends the head of a stream.
func (c *call) open(o pass.Open) {
	c.first = c.server.clock().Sub(c.arrived)
	r := c.exchanges[o.Attempt].response
	c.log("opened", zap.Int("attempt", int(o.Attempt)), zap.Duration("next", c.next),
		zap.Int("confidence", c.server.dialect.Head(r.StatusCode, r.Header).Confidence))
	copyHead(c.w.Header(), r.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(r.StatusCode)
}

// emit sends one event on.
func (c *call) emit(e pass.Emit) {
	c.sent++
	if _, err := c.w.Write(e.Data); err != nil {
		return // the caller is gone; its context ends
	}
	_ = http.NewResponseController(c.w).Flush() // as above
}

// reply sends a whole answer on.
func (c *call) reply(p pass.Reply) {
	x := c.exchanges[p.Attempt]
	c.first = c.server.clock().Sub(c.arrived)
	copyHead(c.w.Header(), x.response.Header)
	if c.r.Method != http.MethodHead {
		c.w.Header().Del("Content-Length")
	}
	c.w.WriteHeader(x.response.StatusCode)
	_, _ = c.w.Write(x.answer) // a caller who is gone needs no more
	c.log("answered", zap.Int("status", x.response.StatusCode), zap.Int("bytes", len(x.answer)))
}

// refuse answers with a failure of the router's own.
func (c *call) refuse(status int, after time.Duration, reason string) {
	h := c.w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	c.server.dialect.Identify(h, c.ask.ID)
	if after > 0 {
		c.server.dialect.Return(h, after)
	}
	c.w.WriteHeader(status)
	body, _ := json.Marshal(map[string]string{"error": reason}) // of strings, cannot fail
	_, _ = c.w.Write(body)                                      // a caller who is gone needs no more
	c.warn("refused", zap.Int("status", status), zap.Duration("after", after), zap.String("reason", reason))
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

// log writes a line on the request, and counts it.
func (c *call) log(what string, fields ...zap.Field) {
	c.server.log.Info(what, c.fields(what, fields)...)
}

func (c *call) warn(what string, fields ...zap.Field) {
	c.server.log.Warn(what, c.fields(what, fields)...)
}

func (c *call) fields(what string, fields []zap.Field) []zap.Field {
	name := ""
	if c.route != nil {
		name = string(c.route.ID)
	}
	took := c.server.clock().Sub(c.arrived)
	c.server.metrics.Count("relay_lines_total", 1, metric.Label{Name: "event", Value: what}, metric.Label{Name: "route", Value: name})
	if what == "opened" || what == "answered" || what == "refused" || what == "broken off" {
		c.server.metrics.Observe("relay_request", took, metric.Label{Name: "event", Value: what})
	}
	all := []zap.Field{
		zap.String("request", string(c.ask.ID)), zap.String("route", name),
		zap.Duration("took", took), zap.Duration("first", c.first),
	}
	if config := c.server.control.View().Config; config != nil {
		all = append(all, zap.Uint64("generation", uint64(config.Generation)))
	}
	return append(all, fields...)
}
