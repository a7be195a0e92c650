package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/relay"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// testCodec is a HeaderCodec with plain headers.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) (relay.RequestHead, error) {
	left, _ := strconv.Atoi(h.Get("Left")) // 0 if not given
	return relay.RequestHead{
		ID: ident.RequestID(h.Get("Id")), Key: h.Get("Key"), Timeout: time.Duration(left) * time.Millisecond,
		LastEventID: proxy.NoEvent, Model: ident.ModelID(h.Get("Model")), Parts: testParts(h.Get("Parts")),
	}, nil
}

func testParts(text string) []route.PromptPart {
	var parts []route.PromptPart
	for _, id := range strings.Fields(text) {
		parts = append(parts, route.PromptPart{ID: id, Tokens: 1})
	}
	return parts
}

func (testCodec) SetAttemptHeaders(h http.Header, a relay.AttemptHead) {
	h.Del("Key")
	h.Set("Team", string(a.Team))
	if a.LastEventID != proxy.NoEvent {
		h.Set("After", fmt.Sprint(a.LastEventID))
	}
}

func (testCodec) SetHandoffHeaders(h http.Header, a relay.HandoffHead) {
	h.Set("Left", fmt.Sprint(a.Remaining.Milliseconds()))
	if a.LastEventID != proxy.NoEvent {
		h.Set("After", fmt.Sprint(a.LastEventID))
	}
}

func (testCodec) ParseResponse(status int, h http.Header) proxy.ResponseHead {
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	wait, _ := time.ParseDuration(h.Get("Retry-After")) // 0 if not given
	return proxy.ResponseHead{
		Brittle: h.Get("Brittle") != "", Limited: err == nil, Limit: limit, Leaving: h.Get("Leaving") != "", RetryAfter: wait,
		Status: status, Signed: h.Get("Proof") != "", NotRun: h.Get("Not-Run") != "", WrongEndpoint: status == 421, Confidence: -1,
	}
}

func (testCodec) MatchesRequest(h http.Header, id ident.RequestID) bool {
	return h.Get("Id") == "" || h.Get("Id") == string(id)
}

func (testCodec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

func (testCodec) SetRequestID(h http.Header, id ident.RequestID) { h.Set("Id", string(id)) }

// scriptedEndpoint is an endpoint that calls a script for each request, with the
// raw connection and the number of the request.
type scriptedEndpoint struct {
	listener net.Listener
	address  string // of an endpoint that does not listen
	script   func(conn net.Conn, r *http.Request, n int)
	lock     sync.Mutex
	requests []*http.Request
	bodies   []string
	rawHeads []string
	conns    int
}

func newScriptedEndpoint(script func(conn net.Conn, r *http.Request, n int)) *scriptedEndpoint {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &scriptedEndpoint{listener: l, script: script}
	DeferCleanup(func() { _ = l.Close() })
	go p.accept(l)
	return p
}

// accept serves the connections of a listener until it is closed.
func (p *scriptedEndpoint) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.lock.Lock()
		p.conns++
		p.lock.Unlock()
		go p.serve(conn)
	}
}

// announced returns the address in the endpoint's entry.
func (p *scriptedEndpoint) announced() string {
	if p.listener == nil {
		return p.address
	}
	return p.listener.Addr().String()
}

// recordingReader records the bytes read through it.
type recordingReader struct {
	r        io.Reader
	recorded *strings.Builder
}

func (r recordingReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.recorded.Write(b[:n])
	return n, err
}

func (p *scriptedEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	var text strings.Builder
	reader := bufio.NewReader(recordingReader{conn, &text})
	for {
		text.Reset()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p.lock.Lock()
		p.requests = append(p.requests, r)
		p.bodies = append(p.bodies, string(body))
		p.rawHeads = append(p.rawHeads, text.String())
		n := len(p.requests)
		p.lock.Unlock()
		p.script(conn, r, n)
	}
}

func (p *scriptedEndpoint) requestCount() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.requests)
}

func httpResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// routerFixture is a router in front of scripted endpoints.
type routerFixture struct {
	world          *world.State
	version        ident.VersionID // version that requests are assigned to
	server         *httptest.Server
	relay          *relay.Server
	lock           sync.Mutex // guards the fields below, and world
	runs           *poison.RunTable
	fatalPart      string
	crashesChanged chan struct{}
	peers          []route.Peer // set before the first request
	routerCount    int          // set between requests, 1 if 0
	limits         *route.LimitTable
}

func (f *routerFixture) View() *world.View {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.world.View()
}

func (f *routerFixture) SelectVersion(time.Time, *world.View, ident.ServiceID, uint64, ident.SessionKey) ident.VersionID {
	return f.version
}

func (f *routerFixture) Observe(time.Time, paths.RouteID, ident.SessionKey, proxy.Report) {}

func (f *routerFixture) ObserveRun(now time.Time, r poison.RunEnd) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs.Observe(now, r)
}

func (f *routerFixture) ObserveEnd(now time.Time, i poison.Incarnation) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs.RecordEnd(now, i)
}

func (f *routerFixture) FatalCause(now time.Time, s poison.Subject) (poison.Cause, string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.fatalPart != "" && slices.Contains(s.Parts, f.fatalPart) {
		return poison.CausePart, f.fatalPart
	}
	if f.runs.Refused(now, s.Fingerprint, func(poison.Incarnation) bool { return false }) {
		return poison.CauseRequest, ""
	}
	return poison.CauseNone, ""
}

func (f *routerFixture) CrashesChanged() <-chan struct{} {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.crashesChanged
}

// advanceConfig puts the next generation of the same configuration in force.
func (f *routerFixture) advanceConfig() {
	f.lock.Lock()
	defer f.lock.Unlock()
	next := *f.world.View().Config
	next.Generation++
	f.world.Step(time.Now(), world.ConfigChanged{Config: &next})
}

// setFatalPart refuses requests with a part in their prompts from now on.
func (f *routerFixture) setFatalPart(part string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.fatalPart = part
	close(f.crashesChanged)
	f.crashesChanged = make(chan struct{})
}

func (f *routerFixture) ConfigAge(time.Time) time.Duration { return 0 }

func (f *routerFixture) RemoteWork(time.Time, ident.EndpointID) route.ModelBacklogs { return nil }

func (f *routerFixture) RecordPrefixes(time.Time, ident.EndpointID, []uint64, []route.PromptPart) {}

func (f *routerFixture) ObserveLimit(now time.Time, e *world.Endpoint, l route.EndpointLimit) {
	l.Endpoint = e.ID
	f.limits.Record(now, l)
}

func (f *routerFixture) Brittle(now time.Time, e *world.Endpoint) bool {
	return f.limits.Brittle(now, e.ID, 0)
}

func (f *routerFixture) Replaced(now time.Time, e *world.Endpoint) bool {
	return f.limits.Replaced(now, e.ID, 0)
}

func (f *routerFixture) ObserveLeaving(now time.Time, e *world.Endpoint) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.world.Step(now, world.EndpointLeaving{Endpoint: e.ID, StartedMillis: e.StartedMillis})
}

func (f *routerFixture) Limit(now time.Time, e *world.Endpoint) (float64, bool) {
	return f.limits.Limit(now, e.ID, 0)
}

func (f *routerFixture) Routers() []ident.RouterID { return []ident.RouterID{"r1"} }

func (f *routerFixture) RouterCount() int { return max(1, f.routerCount) }

func (f *routerFixture) Peers() []route.Peer { return f.peers }

// testBufferBytes is the memory for responses of a router.
const testBufferBytes = 16 << 20

func newFixture(r paths.Route, endpoints ...*scriptedEndpoint) *routerFixture {
	return newFixtureWithClock(time.Now, r, endpoints...)
}

func newFixtureWithClock(clock func() time.Time, r paths.Route, endpoints ...*scriptedEndpoint) *routerFixture {
	r.ID, r.Host, r.Prefix = "r", "127.0.0.1", "/x/"
	r.Split = []paths.WeightedService{{Service: "s", Weight: 1}}
	team := &paths.Team{ID: "ledger", Keys: []string{"secret"}}
	w := world.New(world.Settings{})
	now := clock()
	w.Step(now, world.ConfigChanged{Config: paths.New(1, []*paths.Route{&r}, []*paths.Service{{ID: "s"}}, paths.TeamsOnly{Teams: []*paths.Team{team}}, paths.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096})})
	w.Step(now, world.RolloutsChanged{Full: true})
	w.Step(now, world.ZonesChanged{Full: true})
	list := world.EndpointsChanged{Full: true}
	for i, p := range endpoints {
		list.Present = append(list.Present, world.Announcement{Endpoint: world.Endpoint{
			ID: ident.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Address: p.announced(), Zone: "z", Version: "v", Slots: 4,
		}})
	}
	w.Step(now, list)
	f := &routerFixture{world: w, runs: poison.NewRunTable(time.Minute), crashesChanged: make(chan struct{}), limits: route.NewLimitTable()}
	var err error
	f.relay, err = relay.New(relay.Settings{Router: "r1", Zone: "z", Retries: retry.FleetLimits{Share: 1, Extra: 100}, Fresh: true, Buffer: testBufferBytes}, testCodec{}, f, zap.NewNop(), metric.New(), clock)
	Expect(err).NotTo(HaveOccurred())
	f.server = httptest.NewServer(f.relay)
	DeferCleanup(f.server.Close)
	return f
}

// steppedClock is a clock that advances only when told.
type steppedClock struct {
	start time.Time
	since atomic.Int64 // nanoseconds
}

func newSteppedClock() *steppedClock { return &steppedClock{start: time.Now()} }

func (c *steppedClock) now() time.Time { return c.start.Add(time.Duration(c.since.Load())) }

func (c *steppedClock) set(since time.Duration) { c.since.Store(int64(since)) }

// callResult is what a caller received.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body to its end
}

func (f *routerFixture) call(method, id, body string, header ...string) callResult {
	r, err := http.NewRequest(method, f.server.URL+"/x/y%2Fz?q=1", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Id", id)
	r.Header.Set("Key", "secret")
	r.Header.Set("Left", "3000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := f.server.Client().Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}
