package proxy

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxUndelivered limits the attempts of one request that reach no endpoint.
	maxUndelivered = 4
	// maxRejected limits those of which the connection was rejected at once, each of which
	// takes a few milliseconds. After a crash of a quarter of the endpoints all of these
	// may be tried first, since they appear idle.
	maxRejected = 64
	// minRetryTime is the minimum time before the deadline to start another
	// attempt.
	minRetryTime = 30 * time.Millisecond
)

// Machine is the state machine of one request. Step must not be called once Done
// returns true.
type Machine struct {
	request       Request
	budget        *retry.WindowBudget
	cascade       []ident.ModelID
	modelIndex    int
	attempts      []attempt
	reached       int       // attempts sent to an endpoint of the service, with those granted to other routers
	undelivered   int       // attempts that reached no endpoint of the service, without those rejected
	rejected      int       // attempts of which the connection was rejected at once
	selecting     bool      // a SelectEndpoint is unanswered
	streamOpen    bool      // the caller has the head of a streamed response
	streamAttempt Attempt   // whose events are forwarded, if streamOpen
	lastEventID   int64     // of the last event forwarded
	mayHaveRun    bool      // an endpoint may have run the request
	allowance     Allowance // of the attempt to be sent next
	done          bool
}

// attempt is the state of one dispatch of the request.
type attempt struct {
	endpoint       *world.Endpoint
	model          ident.ModelID
	started        time.Time
	firstLatency   time.Duration
	expected       time.Duration
	baseEstimate   time.Duration
	serviceTime    time.Duration
	uncachedTokens ident.Tokens
	allowance      Allowance
	handoff        bool // endpoint stands for another router
	granted        int  // attempts that the other router may make, if handoff
	running        bool
	succeeded      bool      // its endpoint may be used again
	hung           bool      // replaced as soon as there is an endpoint for another attempt
	hangDeadline   time.Time // when to try another endpoint if no response has arrived, zero for never
}

// New returns the state machine of a request. Attempts after the first draw on
// budget. cascade lists the models to try, in order; it is empty if the caller
// chose the model.
func New(r Request, cascade []ident.ModelID, budget *retry.WindowBudget) *Machine {
	return &Machine{request: r, cascade: cascade, budget: budget, lastEventID: r.LastEventID}
}

// Done reports whether the request has its final response.
func (m *Machine) Done() bool { return m.done }

// Attempts returns the number of attempts dispatched so far.
func (m *Machine) Attempts() int { return len(m.attempts) }

// Reached returns the number of endpoints that have got the request.
func (m *Machine) Reached() int { return m.reached }

// grant returns the number of endpoints that the router to which the request is handed
// over may send it to. One is left for another router, in case this one breaks off.
func (m *Machine) grant() int { return max(1, m.request.Route.MaxAttempts-m.reached-1) }

// Step applies an event and returns the resulting actions, in order.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch x := e.(type) {
	case Start:
		return append([]Action{SetTimer{At: m.request.Deadline}}, m.selectEndpoint()...)
	case EndpointSelected:
		return m.handleEndpoint(now, x)
	case NoEndpoint:
		return m.handleNoEndpoint(now, x)
	case FoundFatal:
		return m.handleFatal(now, x)
	case HeadReceived:
		return m.handleHead(now, x)
	case EventReceived:
		return m.handleEvent(x)
	case StreamEnded:
		return m.handleStreamEnd(x)
	case ResponseReceived:
		return m.handleResponse(now, x)
	case AttemptFailed:
		return m.handleFailure(now, x)
	case CallerGone:
		return m.handleCallerGone()
	case TimerFired:
		return m.handleTimer(now)
	}
	return nil
}

// Urgency returns the rank of an attempt in its endpoint's queue; 0 is served
// first. Requests to the first model of a cascade are short and precede those to
// larger models, whose long prompts would delay them by many times their own
// service time.
func (m *Machine) Urgency(d Dispatch) int {
	level := min(max(m.request.Priority, 0), priorityLevels-1)
	if len(m.cascade) > 1 && d.Model != m.cascade[0] {
		level += priorityLevels
	}
	return level
}

// selectEndpoint requests an endpoint for the next attempt. It excludes those
// whose attempts did not succeed.
func (m *Machine) selectEndpoint() []Action {
	m.selecting = true
	exclude := make([]ident.EndpointID, 0, len(m.attempts))
	for i := range m.attempts {
		if !m.attempts[i].succeeded {
			exclude = append(exclude, m.attempts[i].endpoint.ID)
		}
	}
	return []Action{SelectEndpoint{Attempt: Attempt(len(m.attempts)), Model: m.currentModel(), Exclude: exclude}}
}

// currentModel returns the model that the router chose, or "" if the caller
// chose it.
func (m *Machine) currentModel() ident.ModelID {
	if len(m.cascade) == 0 {
		return ""
	}
	return m.cascade[m.modelIndex]
}

func (m *Machine) handleEndpoint(now time.Time, e EndpointSelected) []Action {
	m.selecting = false
	a := attempt{
		endpoint: e.Endpoint, model: m.currentModel(), started: now,
		expected: e.Expected, baseEstimate: e.BaseEstimate, serviceTime: e.ServiceTime, uncachedTokens: e.UncachedTokens, running: true, handoff: e.Handoff,
		allowance: m.allowance,
	}
	m.allowance = Allowance{}
	if a.handoff {
		a.granted = m.grant()
	}
	actions := append(m.abandonHung(now), Dispatch{
		Attempt: e.Attempt, Endpoint: e.Endpoint, Model: a.model, LastEventID: m.lastEventID, Grant: a.granted, Allowance: a.allowance,
	})
	if a.handoff {
		m.reached += a.granted
		m.attempts = append(m.attempts, a)
		return actions
	}
	if at, ok := hangDeadline(now, m.request, e.Expected); ok && m.hasAttemptsLeft() {
		a.hangDeadline = at
		actions = append(actions, SetTimer{At: at})
	}
	m.attempts = append(m.attempts, a)
	m.reached++
	return actions
}

func (m *Machine) handleNoEndpoint(now time.Time, e NoEndpoint) []Action {
	m.selecting = false
	if m.hasRunningAttempt() {
		return nil // the attempt in flight continues
	}
	reason := ReasonNoEndpoint
	switch {
	case e.Fatal != "":
		reason = e.Fatal
	case e.TooLate:
		reason = ReasonTooLate
	case e.Limited:
		reason = ReasonLimited
	}
	return m.fail(now, reason, e.RetryAfter)
}

// retryOrFail dispatches the request again if it may run again, else fails it.
func (m *Machine) retryOrFail(now time.Time, reason Reason) []Action {
	if m.selecting || m.hasRunningAttempt() && !m.streamOpen {
		return nil
	}
	if m.mayRetry(now) {
		return m.retryWithinBudget(now)
	}
	return m.fail(now, reason, 0)
}

// mayRetry reports whether another run is allowed, apart from the retry budget.
func (m *Machine) mayRetry(now time.Time) bool {
	return m.hasAttemptsLeft() && m.hasTimeLeft(now) && !m.selecting
}

// hasAttemptsLeft reports whether the route allows another attempt after one that
// may have run.
func (m *Machine) hasAttemptsLeft() bool {
	return m.request.Route.Repeatable() && m.reached < m.request.Route.MaxAttempts
}

// hasTimeLeft reports whether another attempt can start before the deadline.
func (m *Machine) hasTimeLeft(now time.Time) bool { return m.request.Deadline.Sub(now) >= minRetryTime }

// retryWithinBudget dispatches the request again if the retry budget allows.
func (m *Machine) retryWithinBudget(now time.Time) []Action {
	if !m.draw(now) {
		return m.fail(now, ReasonRetryBudget, 0)
	}
	return m.selectEndpoint()
}

// draw takes an attempt from the retry budget. It reports false if none is left.
func (m *Machine) draw(now time.Time) bool {
	if !m.budget.Allow(now) {
		return false
	}
	m.allowance = Allowance{At: now}
	return true
}

// drawOpinion takes a second opinion from the retry budget. It reports false if none is
// left.
func (m *Machine) drawOpinion(now time.Time) bool {
	if !m.budget.AllowOpinion(now, escalationReserve) {
		return false
	}
	m.allowance = Allowance{At: now, Opinion: true}
	return true
}

// handleTimer ends the request at its deadline, and replaces an attempt whose
// endpoint appears to hang.
func (m *Machine) handleTimer(now time.Time) []Action {
	if !now.Before(m.request.Deadline) {
		return m.handleDeadline()
	}
	if m.streamOpen || m.selecting {
		return nil
	}
	for i := range m.attempts {
		a := &m.attempts[i]
		if !a.running || a.hangDeadline.IsZero() || now.Before(a.hangDeadline) {
			continue
		}
		a.hangDeadline = time.Time{}
		if !m.mayRetry(now) || !m.draw(now) {
			continue
		}
		a.hung = true
		return m.selectEndpoint()
	}
	return nil
}

// abandonHung cancels the attempts that another one replaces. Until then they go on: an
// endpoint that was silent for a while may still answer.
func (m *Machine) abandonHung(now time.Time) []Action {
	var actions []Action
	for i := range m.attempts {
		if a := &m.attempts[i]; a.running && a.hung {
			m.mayHaveRun = true
			actions = append(actions, m.abandonAttempt(now, Attempt(i))...)
		}
	}
	return actions
}

// hasRunningAttempt reports whether an attempt is in flight.
func (m *Machine) hasRunningAttempt() bool {
	for i := range m.attempts {
		if m.attempts[i].running {
			return true
		}
	}
	return false
}
