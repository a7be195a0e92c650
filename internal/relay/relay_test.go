package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/world"
)

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

var (
	once   = paths.Route{Kind: paths.KindOnce, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
	safe   = paths.Route{Kind: paths.KindIdempotent, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
	stream = paths.Route{Kind: paths.KindStream, Resume: true, MaxAttempts: 3, Timeout: 3 * time.Second, TargetLatency: time.Second}
)

const streamHead = "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	return string("0123456789abcdef"[len(text)/16]) + string("0123456789abcdef"[len(text)%16]) + "\r\n" + text + "\r\n"
}

var _ = Describe("Relay", func() {
	It("passes a request on as it is, adds nothing, and keeps the key", func() {
		p := newPeer(func(conn net.Conn, r *http.Request, _ int) { write(conn, answer(r.Header.Get("Id"), "yes")) })
		got := newFixture(once, p).call("POST", "a", "body", "X-Own", "1", "Connection", "X-Hop", "X-Hop", "2")
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

	It("adds no agent and no encoding of its own", func() {
		p := newPeer(func(conn net.Conn, r *http.Request, _ int) { write(conn, answer(r.Header.Get("Id"), "")) })
		f := newFixture(safe, p)
		conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		write(conn, "GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nKey: secret\r\n\r\n")
		Eventually(p.count).Should(Equal(1))
		Expect(p.heads[0]).To(Equal("GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nTeam: ledger\r\n\r\n"))
	})

	// The trap: an HTTP client that sends again by itself when a kept
	// connection dies before the first byte.
	It("sends nothing again that must not run twice when a kept connection dies", func() {
		p := newPeer(func(conn net.Conn, r *http.Request, n int) {
			if n == 1 {
				write(conn, answer(r.Header.Get("Id"), "first"))
				return
			}
			_ = conn.Close()
		})
		f := newFixture(once, p)
		Expect(f.call("POST", "a", "1").status).To(Equal(200))
		got := f.call("POST", "b", "2")
		Expect(got.status).To(Equal(502))
		Consistently(p.count, "100ms").Should(Equal(2))
	})

	It("tries elsewhere what may be repeated", func() {
		down := newPeer(func(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() })
		up := newPeer(func(conn net.Conn, r *http.Request, _ int) { write(conn, answer(r.Header.Get("Id"), "yes")) })
		f := newFixture(safe, down, up)
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(f.call("GET", id, "").body).To(Equal("yes"))
		}
	})

	It("gives a request that failed on a version on trial to the one it replaces", func() {
		bad := newPeer(func(conn net.Conn, _ *http.Request, _ int) {
			write(conn, "HTTP/1.1 500 Oops\r\nProof: p\r\nContent-Length: 0\r\n\r\n")
		})
		up := newPeer(func(conn net.Conn, r *http.Request, _ int) { write(conn, answer(r.Header.Get("Id"), "yes")) })
		f := newFixture(safe, up)
		f.version = "v2"
		f.world.Step(time.Now(), world.RolloutsChanged{Present: []world.Rollout{{Service: "s", Target: "v2", Stage: world.StageTrial, Revision: 1}}})
		f.world.Step(time.Now(), world.EndpointsChanged{Present: []world.Announcement{{Endpoint: world.Endpoint{
			ID: "new", Service: "s", Address: bad.listener.Addr().String(), Zone: "z", Version: "v2", Slots: 4,
		}}}})
		Expect(f.call("GET", "a", "").body).To(Equal("yes"))
		Expect(bad.count()).To(Equal(1))
	})

	It("skips a late answer to another request on the same connection", func() {
		p := newPeer(func(conn net.Conn, r *http.Request, n int) {
			if n == 2 {
				write(conn, answer("a", "extra"))
			}
			write(conn, answer(r.Header.Get("Id"), r.Header.Get("Id")))
		})
		f := newFixture(safe, p)
		Expect(f.call("GET", "a", "").body).To(Equal("a"))
		Expect(f.call("GET", "b", "").body).To(Equal("b"))
	})

	It("uses no connection again that spoke unasked", func() {
		p := newPeer(func(conn net.Conn, r *http.Request, n int) {
			write(conn, answer(r.Header.Get("Id"), r.Header.Get("Id")))
			if n == 1 {
				write(conn, answer("", "stray"))
			}
		})
		f := newFixture(safe, p)
		Expect(f.call("GET", "a", "").body).To(Equal("a"))
		time.Sleep(50 * time.Millisecond)
		Expect(f.call("GET", "b", "").body).To(Equal("b"))
		Expect(p.conns).To(Equal(2))
	})

	It("takes a cut answer for broken, whatever its framing", func() {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
			"bytes that are no answer\r\n\r\n",
		} {
			p := newPeer(func(conn net.Conn, _ *http.Request, _ int) {
				write(conn, text)
				_ = conn.Close()
			})
			Expect(newFixture(once, p).call("POST", "a", "").status).To(Equal(502), text)
		}
	})

	It("takes an answer without length for whole only if it was not reset", func() {
		var reset atomic.Bool
		p := newPeer(func(conn net.Conn, _ *http.Request, _ int) {
			write(conn, "HTTP/1.1 200 OK\r\nProof: p\r\n\r\nall")
			time.Sleep(30 * time.Millisecond)
			if reset.Load() {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		f := newFixture(once, p)
		Expect(f.call("POST", "a", "").body).To(Equal("all"))
		reset.Store(true)
		Expect(f.call("POST", "b", "").status).To(Equal(502))
	})

	It("sends a long body to its end although the answer came early", func() {
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
			write(conn, "HTTP/1.1 413 Too Large\r\nProof: p\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			for err == nil && seen < len(body) {
				n, err = conn.Read(buffer)
				seen += strings.Count(string(buffer[:n]), "#")
			}
			got <- seen
		}()
		f := newFixture(once, &peer{listener: l})
		Expect(f.call("POST", "a", body).status).To(Equal(413))
		var n int
		Eventually(got, "5s").Should(Receive(&n))
		Expect(n).To(Equal(len(body)))
	})

	It("goes on with a stream on another endpoint after the last event", func() {
		script := func(conn net.Conn, r *http.Request, _ int) {
			if r.Header.Get("After") == "0" {
				write(conn, streamHead+chunk("id: 1\ndata: b\n\n")+"0\r\n\r\n")
				return
			}
			write(conn, streamHead+chunk("id: 0\ndata: a\n\n")+chunk("id: 1\nda"))
			_ = conn.Close()
		}
		f := newFixture(stream, newPeer(script), newPeer(script))
		got := f.call("POST", "a", "")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"))
	})

	It("does not let a stream look complete that was cut", func() {
		r := stream
		r.MaxAttempts = 1
		p := newPeer(func(conn net.Conn, _ *http.Request, _ int) {
			write(conn, streamHead+chunk("id: 0\ndata: a\n\n"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		})
		got := newFixture(r, p).call("POST", "a", "")
		Expect(got.err).To(HaveOccurred())
	})

	It("closes its connection to the endpoint when the caller leaves", func() {
		gone := make(chan struct{})
		p := newPeer(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.ReadAll(conn)
			close(gone)
		})
		f := newFixture(safe, p)
		conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		write(conn, "GET /x/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nKey: secret\r\n\r\n")
		Eventually(p.count).Should(Equal(1))
		_ = conn.Close()
		Eventually(gone, "400ms").Should(BeClosed())
	})

	DescribeTable("answers what it cannot serve clearly",
		func(status int, path string, header ...string) {
			p := newPeer(func(conn net.Conn, r *http.Request, _ int) { write(conn, answer(r.Header.Get("Id"), "")) })
			f := newFixture(once, p)
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
			Expect(p.count()).To(BeZero())
		},
		Entry("no route", 404, "/y/", "Key", "secret"),
		Entry("unknown key", 401, "/x/", "Key", "other"),
		Entry("no key", 401, "/x/"),
		Entry("body too long", 413, "/x/", "Key", "secret"),
		Entry("head too long", 431, "/x/", "Key", "secret", "X-Long", strings.Repeat("x", 5000)),
	)
})
