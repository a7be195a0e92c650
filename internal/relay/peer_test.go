package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/relay"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// dialect is a plain set of headers for the tests.
type dialect struct{}

func (dialect) Ask(h http.Header) (relay.Ask, error) {
	left, _ := strconv.Atoi(h.Get("Left")) // 0 if not told
	return relay.Ask{
		ID: ident.RequestID(h.Get("Id")), Key: h.Get("Key"), Left: time.Duration(left) * time.Millisecond,
		After: pass.NoEvent, Model: ident.ModelID(h.Get("Model")),
	}, nil
}

func (dialect) Send(h http.Header, s relay.Send) {
	h.Del("Key")
	h.Set("Team", string(s.Team))
	if s.After != pass.NoEvent {
		h.Set("After", fmt.Sprint(s.After))
	}
}

func (dialect) Head(status int, h http.Header) pass.Head {
	return pass.Head{Status: status, Signed: h.Get("Proof") != "", NotRun: h.Get("Not-Run") != "", Foreign: status == 421, Confidence: -1}
}

func (dialect) Answers(h http.Header, id ident.RequestID) bool {
	return h.Get("Id") == "" || h.Get("Id") == string(id)
}

func (dialect) Return(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) }

func (dialect) Identify(h http.Header, id ident.RequestID) { h.Set("Id", string(id)) }

// peer is an endpoint that answers by a script, on raw connections.
type peer struct {
	listener net.Listener
	script   func(conn net.Conn, r *http.Request, n int)
	lock     sync.Mutex
	requests []*http.Request
	bodies   []string
	heads    []string
	conns    int
}

func newPeer(script func(conn net.Conn, r *http.Request, n int)) *peer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{listener: l, script: script}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
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
	}()
	return p
}

// tee keeps what was read, as it came.
type tee struct {
	r    io.Reader
	text *strings.Builder
}

func (t tee) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	t.text.Write(b[:n])
	return n, err
}

func (p *peer) serve(conn net.Conn) {
	defer conn.Close()
	var text strings.Builder
	reader := bufio.NewReader(tee{conn, &text})
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
		p.heads = append(p.heads, text.String())
		n := len(p.requests)
		p.lock.Unlock()
		p.script(conn, r, n)
	}
}

func (p *peer) count() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.requests)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// fixture is a router in front of scripted endpoints.
type fixture struct {
	world   *world.State
	version ident.VersionID // that requests are drawn to
	server  *httptest.Server
	relay   *relay.Server
}

func (f *fixture) View() *world.View { return f.world.View() }

func (f *fixture) Version(time.Time, *world.View, ident.ServiceID, uint64, ident.SessionKey) ident.VersionID {
	return f.version
}

func (f *fixture) Observe(time.Time, paths.RouteID, ident.SessionKey, pass.Report) {}

func (f *fixture) Others(time.Time, ident.EndpointID) route.ModelBacklogs { return nil }

func (f *fixture) Reads(time.Time, ident.EndpointID, []uint64, []route.PromptPart) {}

func (f *fixture) Routers() int { return 1 }

func newFixture(r paths.Route, peers ...*peer) *fixture {
	r.ID, r.Host, r.Prefix = "r", "127.0.0.1", "/x/"
	r.Split = []paths.WeightedService{{Service: "s", Weight: 1}}
	team := &paths.Team{ID: "ledger", Keys: []string{"secret"}}
	w := world.New(world.Settings{})
	now := time.Now()
	w.Step(now, world.ConfigChanged{Config: paths.New(1, []*paths.Route{&r}, []*paths.Service{{ID: "s"}}, []*paths.Team{team}, paths.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096})})
	w.Step(now, world.RolloutsChanged{Full: true})
	w.Step(now, world.ZonesChanged{Full: true})
	list := world.EndpointsChanged{Full: true}
	for i, p := range peers {
		list.Present = append(list.Present, world.Announcement{Endpoint: world.Endpoint{
			ID: ident.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Address: p.listener.Addr().String(), Zone: "z", Version: "v", Slots: 4,
		}})
	}
	w.Step(now, list)
	f := &fixture{world: w}
	var err error
	f.relay, err = relay.New(relay.Settings{Router: "r1", Zone: "z", Retries: relay.RetryLimits{Share: 1, Extra: 100}}, dialect{}, f, zap.NewNop(), metric.New(), time.Now)
	Expect(err).NotTo(HaveOccurred())
	f.server = httptest.NewServer(f.relay)
	DeferCleanup(f.server.Close)
	return f
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body to its end
}

func (f *fixture) call(method, id, body string, header ...string) reply {
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
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}
