package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
)

func writeString(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

var (
	onceRoute       = paths.Route{Kind: paths.KindOnce, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
	idempotentRoute = paths.Route{Kind: paths.KindIdempotent, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
	streamRoute     = paths.Route{Kind: paths.KindStream, Resume: true, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
)

const streamHead = "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	return string("0123456789abcdef"[len(text)/16]) + string("0123456789abcdef"[len(text)%16]) + "\r\n" + text + "\r\n"
}

var _ = Describe("Relay", func() {
	It("forwards a request unchanged, adds nothing, and withholds the key", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		got := newFixture(onceRoute, p).call("POST", "a", "body", "X-Own", "1", "Connection", "X-Hop", "X-Hop", "2")
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("yes"))
		Expect(got.header).NotTo(HaveKey("Date"))
		Expect(got.header).NotTo(HaveKey("Content-Type"))
		Expect(p.bodies).To(Equal([]string{"body"}))
		head := p.requests[0]
		Expect(head.RequestURI).To(Equal("/x/y%2Fz?q=1"))
		Expect(head.Header.Get("X-Own")).To(Equal("1"))
		Expect(head.Header.Get("Team")).To(Equal("ledger"))
		Expect(head.Header).NotTo(Or(HaveKey("Key"), HaveKey("X-Hop"), HaveKey("Connection")))
	})

	It("adds no User-Agent and no Accept-Encoding header", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) { writeString(conn, httpResponse(r.Header.Get("Id"), "")) })
		f := newFixture(idempotentRoute, p)
		conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		writeString(conn, "GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nKey: secret\r\n\r\n")
		Eventually(p.requestCount).Should(Equal(1))
		Expect(p.rawHeads[0]).To(Equal("GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nTeam: ledger\r\n\r\n"))
	})

	// Guards against the automatic retry of HTTP clients when a pooled connection
	// is closed before the first byte of the response.
	It("does not resend a request that must not run twice when a pooled connection closes", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, n int) {
			if n == 1 {
				writeString(conn, httpResponse(r.Header.Get("Id"), "first"))
				return
			}
			_ = conn.Close()
		})
		f := newFixture(onceRoute, p)
		Expect(f.call("POST", "a", "1").status).To(Equal(200))
		got := f.call("POST", "b", "2")
		Expect(got.status).To(Equal(502))
		Consistently(p.requestCount, "100ms").Should(Equal(2))
	})

	It("retries an idempotent request at another endpoint", func() {
		down := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() })
		up := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		f := newFixture(idempotentRoute, down, up)
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(f.call("GET", id, "").body).To(Equal("yes"))
		}
	})

	// A router took its part of the retries of a small fleet for good; once the fleet had
	// grown, all routers together sent more than they may.
	It("takes a smaller part of the retries once more routers share them", func() {
		cut := func(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() }
		first, second := newScriptedEndpoint(cut), newScriptedEndpoint(cut)
		f := newFixture(idempotentRoute, first, second)
		attempts := func(id string) int {
			before := first.requestCount() + second.requestCount()
			f.call("GET", id, "")
			return first.requestCount() + second.requestCount() - before
		}
		Expect(attempts("a")).To(BeNumerically(">", 1))
		f.routerCount = 100000
		Expect(attempts("b")).To(Equal(1))
	})

	It("refuses a request under which three endpoints have ended, as not run, and no other one", func() {
		endpoints := []*scriptedEndpoint{}
		for range 5 {
			endpoints = append(endpoints, newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
				if r.Header.Get("X-Body") == "fatal" {
					_ = conn.Close() // the endpoint ends
					return
				}
				writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
			}))
		}
		f := newFixture(idempotentRoute, endpoints...)
		sent := func() (n int) {
			for _, p := range endpoints {
				n += p.requestCount()
			}
			return n
		}
		Expect(f.call("POST", "a", "fatal", "X-Body", "fatal").status).To(Equal(502))
		Expect(sent()).To(Equal(3))
		got := f.call("POST", "b", "fatal", "X-Body", "fatal")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(sent()).To(Equal(3))
		Expect(f.call("POST", "c", "other").status).To(Equal(200))
	})

	It("refuses a prompt with a part that crashes endpoints, as not run, unless it is the prompt's last", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		f := newFixture(idempotentRoute, p)
		f.setFatalPart("bad")
		got := f.call("POST", "a", "x", "Parts", "sound bad own")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(p.requestCount()).To(BeZero())
		Expect(f.call("POST", "b", "x", "Parts", "sound other own").status).To(Equal(200))
		Expect(f.call("POST", "c", "x", "Parts", "sound bad").status).To(Equal(200))
	})

	// Guards against requests that wait at endpoints until each crashes the one it is at.
	It("withdraws a request that waits at an endpoint once a part of its prompt is known to crash endpoints", func() {
		arrived, closed := make(chan struct{}), make(chan struct{})
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			close(arrived)
			_, _ = conn.Read(make([]byte, 1)) // until the router closes the connection
			close(closed)
		})
		f := newFixture(idempotentRoute, p)
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status <- f.call("POST", "a", "x", "Parts", "bad own").status
		}()
		Eventually(arrived, "2s").Should(BeClosed())
		f.setFatalPart("bad")
		Eventually(closed, "1s").Should(BeClosed())
		Eventually(status, "1s").Should(Receive(Equal(502)), "the endpoint may have run it")
		Expect(p.requestCount()).To(Equal(1))
	})

	It("sends nothing to an endpoint for as long as that asks, and refuses at once if all do", func() {
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 700ms\r\nContent-Length: 0\r\n\r\n")
		})
		clock := newSteppedClock()
		f := newFixtureWithClock(clock.now, idempotentRoute, p)
		for _, since := range []time.Duration{0, 0, 100, 200, 300, 400, 500, 600, 650, 699} {
			clock.set(since * time.Millisecond)
			got := f.call("POST", fmt.Sprint("a", since), "body")
			Expect(got.status).To(Equal(503))
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(p.requestCount()).To(Equal(1), "after %d ms", since)
		}
		clock.set(700 * time.Millisecond)
		Expect(f.call("POST", "b", "body").status).To(Equal(503))
		Expect(p.requestCount()).To(Equal(2))
	})

	// Guards against losing what an endpoint says in the answer to a run that goes on after
	// its caller has left.
	It("sends nothing to an endpoint that asked so in an answer to a caller that has left", func() {
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			time.Sleep(150 * time.Millisecond)
			writeString(conn, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 2s\r\nContent-Length: 0\r\n\r\n")
		})
		f := newFixture(onceRoute, p)
		f.server.Client().Timeout = 50 * time.Millisecond
		Expect(f.call("POST", "a", "body").err).To(HaveOccurred())
		Eventually(p.requestCount).Should(Equal(1))
		time.Sleep(300 * time.Millisecond)
		f.server.Client().Timeout = 0
		Expect(f.call("POST", "b", "body").status).To(Equal(503))
		Expect(p.requestCount()).To(Equal(1))
	})

	// Guards against losing what an endpoint says in the answer to an attempt that was given
	// up while the endpoint was silent.
	It("sends nothing to an endpoint that asked so in an answer to a cancelled attempt", func() {
		ended := make(chan error, 2)
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
			writeString(conn, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 2s\r\nContent-Length: 0\r\n\r\n")
		})
		f := newFixture(idempotentRoute, p)
		f.server.Client().Timeout = 50 * time.Millisecond
		Expect(f.call("POST", "a", "body").err).To(HaveOccurred())
		Eventually(ended).Should(Receive(Equal(io.EOF)))
		time.Sleep(100 * time.Millisecond)
		f.server.Client().Timeout = 0
		Expect(f.call("POST", "b", "body").status).To(Equal(503))
		Expect(p.requestCount()).To(Equal(1))
	})

	It("does not wait for long for the answer to a cancelled attempt", func() {
		closed := make(chan time.Duration, 1)
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = conn.Read(make([]byte, 1)) // until the attempt is cancelled
			cancelled := time.Now()
			for { // a connection that is closed refuses what follows
				if _, err := conn.Write([]byte("\r\n")); err != nil {
					closed <- time.Since(cancelled)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		f := newFixture(idempotentRoute, p)
		f.server.Client().Timeout = 50 * time.Millisecond
		Expect(f.call("POST", "a", "body").err).To(HaveOccurred())
		Eventually(closed, 5*time.Second).Should(Receive(BeNumerically("<", 3*time.Second)))
	})

	// Guards against a connection that ends without an answer although the caller has got
	// nothing yet.
	It("answers a stream that is broken off before its first event", func() {
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			_ = conn.Close()
		})
		got := newFixture(paths.Route{Kind: paths.KindStream, MaxAttempts: 1}, p).call("POST", "a", "body")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(502))
		Expect(got.header.Get("Proof")).To(BeEmpty())
	})

	It("sends nothing more to an endpoint that says in an answer that it is leaving", func() {
		answer := func(header string) func(net.Conn, *http.Request, int) {
			return func(conn net.Conn, r *http.Request, _ int) {
				writeString(conn, strings.Replace(httpResponse(r.Header.Get("Id"), "yes"), "Proof: p", "Proof: p"+header, 1))
			}
		}
		leaving, other := newScriptedEndpoint(answer("\r\nLeaving: 1")), newScriptedEndpoint(answer(""))
		f := newFixture(idempotentRoute, leaving, other)
		for i := range 40 {
			Expect(f.call("POST", fmt.Sprint("a", i), "body").status).To(Equal(200))
		}
		Expect(leaving.requestCount()).To(Equal(1))
		Expect(other.requestCount()).To(Equal(39))
	})

	// Guards against each router asking each endpoint whose address another process has
	// taken, which uses up the retries that requests need after a crash.
	It("sends nothing to an endpoint that another router has found replaced, until that is old", func() {
		misdirected := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		})
		other := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		f := newFixture(idempotentRoute, misdirected, other)
		now := time.Now()
		f.limits.Merge(now, []route.EndpointLimit{{Endpoint: "e0", Replaced: true, Millis: now.UnixMilli()}})
		for i := range 20 {
			Expect(f.call("POST", fmt.Sprint("a", i), "body").status).To(Equal(200))
		}
		Expect(misdirected.requestCount()).To(BeZero())
		Expect(f.limits.Replaced(now.Add(time.Minute), "e0", 0)).To(BeFalse())
	})

	// Guards against an own finding that other routers are not told.
	It("records that another process answers at an endpoint's address", func() {
		misdirected := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		})
		f := newFixture(idempotentRoute, misdirected)
		Expect(f.call("POST", "a", "body").status).To(Equal(503))
		changed, _ := f.limits.Since(0)
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].Replaced).To(BeTrue())
	})

	It("refuses a request at once if the limit of each endpoint is used up, as not run", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, strings.Replace(httpResponse(r.Header.Get("Id"), "yes"), "Proof: p", "Proof: p\r\nLimit: 0.5", 1))
		})
		f := newFixture(idempotentRoute, p)
		Expect(f.call("POST", "a", "body").status).To(Equal(200))
		served := 1
		for i := range 10 {
			got := f.call("POST", fmt.Sprint("b", i), "body")
			if got.status == 200 {
				served++
				continue
			}
			Expect(got.status).To(Equal(503))
			Expect(got.body).To(ContainSubstring("endpoints limited"))
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(served).To(BeNumerically("<=", 3))
		Expect(p.requestCount()).To(Equal(served))
	})

	It("gives a request that failed on a version on trial to the one it replaces", func() {
		bad := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 500 Oops\r\nProof: p\r\nContent-Length: 0\r\n\r\n")
		})
		up := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		f := newFixture(idempotentRoute, up)
		f.version = "v2"
		f.world.Step(time.Now(), world.RolloutsChanged{Present: []world.Rollout{{Service: "s", Target: "v2", Stage: world.StageTrial, Revision: 1}}})
		f.world.Step(time.Now(), world.EndpointsChanged{Present: []world.Announcement{{Endpoint: world.Endpoint{
			ID: "new", Service: "s", Address: bad.listener.Addr().String(), Zone: "z", Version: "v2", Slots: 4,
		}}}})
		Expect(f.call("GET", "a", "").body).To(Equal("yes"))
		Expect(bad.requestCount()).To(Equal(1))
	})

	It("skips a late response to another request on the same connection", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, n int) {
			if n == 2 {
				writeString(conn, httpResponse("a", "extra"))
			}
			writeString(conn, httpResponse(r.Header.Get("Id"), r.Header.Get("Id")))
		})
		f := newFixture(idempotentRoute, p)
		Expect(f.call("GET", "a", "").body).To(Equal("a"))
		Expect(f.call("GET", "b", "").body).To(Equal("b"))
	})

	It("does not reuse a connection that has received unexpected data", func() {
		p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, n int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), r.Header.Get("Id")))
			if n == 1 {
				writeString(conn, httpResponse("", "stray"))
			}
		})
		f := newFixture(idempotentRoute, p)
		Expect(f.call("GET", "a", "").body).To(Equal("a"))
		time.Sleep(50 * time.Millisecond)
		Expect(f.call("GET", "b", "").body).To(Equal("b"))
		Expect(p.conns).To(Equal(2))
	})

	It("treats a truncated response as broken, whatever its framing", func() {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
			"bytes that are no answer\r\n\r\n",
		} {
			p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
				writeString(conn, text)
				_ = conn.Close()
			})
			Expect(newFixture(onceRoute, p).call("POST", "a", "").status).To(Equal(502), text)
		}
	})

	It("treats a response without length as complete only if the connection was not reset", func() {
		var reset atomic.Bool
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, "HTTP/1.1 200 OK\r\nProof: p\r\n\r\nall")
			time.Sleep(30 * time.Millisecond)
			if reset.Load() {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		f := newFixture(onceRoute, p)
		Expect(f.call("POST", "a", "").body).To(Equal("all"))
		reset.Store(true)
		Expect(f.call("POST", "b", "").status).To(Equal(502))
	})

	// Guards against a stream that looks complete since it ended with its connection.
	It("treats a stream without length as complete only if it did not end inside an event", func() {
		for text, whole := range map[string]bool{
			"id: 0\ndata: a\n\n":                     true,
			"id: 0\r\ndata: a\r\n\r\n":               true,
			"id: 0\ndata: a\n\nid: 1\ndata: b\n\n\n": true,
			"id: 0\ndata: a\n\nid: 1\n":              false,
			"id: 0\ndata: a\n\nid: 1\ndata: b\n":     false,
			"id: 0\ndata: a\n\nid":                   false,
		} {
			p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
				writeString(conn, "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\n\r\n"+text)
				_ = conn.Close()
			})
			got := newFixture(paths.Route{Kind: paths.KindStream, MaxAttempts: 1}, p).call("POST", "a", "")
			if whole {
				Expect(got.err).NotTo(HaveOccurred(), "%q", text)
				Expect(got.body).To(Equal(text))
			} else {
				Expect(got.err).To(HaveOccurred(), "%q", text)
			}
		}
	})

	It("sends a long body completely although the response came early", func() {
		body := strings.Repeat("#", 300<<10)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		got := make(chan int, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			buffer := make([]byte, 1024)
			n, _ := conn.Read(buffer)
			seen := strings.Count(string(buffer[:n]), "#")
			writeString(conn, "HTTP/1.1 413 Too Large\r\nProof: p\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			for err == nil && seen < len(body) {
				n, err = conn.Read(buffer)
				seen += strings.Count(string(buffer[:n]), "#")
			}
			got <- seen
		}()
		f := newFixture(onceRoute, &scriptedEndpoint{listener: l})
		Expect(f.call("POST", "a", body).status).To(Equal(413))
		var n int
		Eventually(got, "5s").Should(Receive(&n))
		Expect(n).To(Equal(len(body)))
	})

	It("resumes a stream on another endpoint after the last event", func() {
		script := func(conn net.Conn, r *http.Request, _ int) {
			if r.Header.Get("After") == "0" {
				writeString(conn, streamHead+chunk("id: 1\ndata: b\n\n")+"0\r\n\r\n")
				return
			}
			writeString(conn, streamHead+chunk("id: 0\ndata: a\n\n")+chunk("id: 1\nda"))
			_ = conn.Close()
		}
		f := newFixture(streamRoute, newScriptedEndpoint(script), newScriptedEndpoint(script))
		got := f.call("POST", "a", "")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"))
	})

	It("does not let a truncated stream look complete", func() {
		r := streamRoute
		r.MaxAttempts = 1
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			writeString(conn, streamHead+chunk("id: 0\ndata: a\n\n"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		})
		got := newFixture(r, p).call("POST", "a", "")
		Expect(got.err).To(HaveOccurred())
	})

	It("closes its connection to the endpoint when the caller disconnects", func() {
		gone := make(chan struct{})
		p := newScriptedEndpoint(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.ReadAll(conn)
			close(gone)
		})
		f := newFixture(idempotentRoute, p)
		conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		writeString(conn, "GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nKey: secret\r\n\r\n")
		Eventually(p.requestCount).Should(Equal(1))
		_ = conn.Close()
		Eventually(gone, "400ms").Should(BeClosed())
	})

	DescribeTable("refuses a request that it cannot serve with a specific status",
		func(status int, path string, header ...string) {
			p := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) { writeString(conn, httpResponse(r.Header.Get("Id"), "")) })
			f := newFixture(onceRoute, p)
			r, err := http.NewRequest("POST", f.server.URL+path, strings.NewReader(strings.Repeat("x", 2<<20)))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Id", "a")
			for i := 0; i+1 < len(header); i += 2 {
				r.Header.Set(header[i], header[i+1])
			}
			response, err := f.server.Client().Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(status))
			Expect(p.requestCount()).To(BeZero())
		},
		Entry("no route", 404, "/y/", "Key", "secret"),
		Entry("unknown key", 401, "/x/", "Key", "other"),
		Entry("no key", 401, "/x/"),
		Entry("body too long", 413, "/x/", "Key", "secret"),
		Entry("head too long", 431, "/x/", "Key", "secret", "X-Long", strings.Repeat("x", 5000)),
	)
})
