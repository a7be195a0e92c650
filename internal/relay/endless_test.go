package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/paths"
)

var _ = Describe("A response without end", func() {
	const (
		// endlessBound is the number of bytes that a router may take from an endpoint,
		// and endlessTime the time after which it must have turned to another.
		endlessBound = 48 << 20
		endlessTime  = 2500 * time.Millisecond
	)
	// endless returns an endpoint that writes a beginning, and then a piece again and
	// again until the router closes the connection.
	endless := func(beginning, piece string, written *atomic.Int64, closed chan struct{}) *scriptedEndpoint {
		return newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			defer close(closed)
			defer conn.Close()
			text := strings.ReplaceAll(strings.Repeat(piece, max(1, 1<<14/len(piece))), "ID", r.Header.Get("Id"))
			writeString(conn, strings.ReplaceAll(beginning, "ID", r.Header.Get("Id")))
			for {
				n, err := conn.Write([]byte(text))
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
	}
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nProof: p\r\n"

	// Guards against a router that reads until its memory is used up.
	DescribeTable("is given up after a bounded number of bytes, and the request is served by another endpoint", func(beginning, piece string) {
		var written atomic.Int64
		closed := make(chan struct{})
		bad := endless(beginning, piece, &written, closed)
		good := newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
			writeString(conn, httpResponse(r.Header.Get("Id"), "yes"))
		})
		r := idempotentRoute
		r.MaxAttempts = 3
		f := newFixture(r, bad, good)
		began := time.Now()
		for n := 0; bad.requestCount() == 0; n++ {
			Expect(f.call("GET", fmt.Sprint("a", n), "", "Left", "20000").body).To(Equal("yes"))
		}
		Eventually(closed, endlessTime).Should(BeClosed())
		Expect(time.Since(began)).To(BeNumerically("<", endlessTime))
		Expect(written.Load()).To(BeNumerically("<", int64(endlessBound)))
	},
		Entry("no line end", "", "x"),
		Entry("a status line without end", "HTTP/1.1 200 ", "x"),
		Entry("one header without end", head+"X: ", "x"),
		Entry("headers without end", head, "X: y\r\n"),
		Entry("interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"),
		Entry("responses to other requests without end", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"),
		Entry("a response to another request without end", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"),
		Entry("a body without length", head+"\r\n", "x"),
		Entry("a body in chunks", head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n"),
		Entry("a chunk size without end", head+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("a chunk extension without end", head+"Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		Entry("trailers without end", head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	)

	It("is broken off in a stream whose event has no end", func() {
		var written atomic.Int64
		closed := make(chan struct{})
		f := newFixture(paths.Route{Kind: paths.KindStream, MaxAttempts: 1}, endless(head+"Content-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\nid: 1\ndata: ", "x", &written, closed))
		got := f.call("GET", "a", "", "Left", "20000")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal("id: 0\ndata: a\n\n"))
		Eventually(closed, endlessTime).Should(BeClosed())
		Expect(written.Load()).To(BeNumerically("<", int64(endlessBound)))
	})

	It("does not make many of them use up the memory together", func() {
		f := newFixture(paths.Route{Kind: paths.KindOnce, MaxAttempts: 1}, func() (list []*scriptedEndpoint) {
			for range 8 {
				list = append(list, newScriptedEndpoint(func(conn net.Conn, r *http.Request, _ int) {
					writeString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id"))+"\r\n")
					for text := strings.Repeat("x", 1<<16); ; {
						if _, err := conn.Write([]byte(text)); err != nil {
							return
						}
					}
				}))
			}
			return list
		}()...)
		const calls = 40
		done := make(chan int, calls)
		var peak atomic.Int64
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
					peak.Store(max(peak.Load(), f.relay.BufferedBytes()))
				}
			}
		}()
		for i := range calls {
			go func() {
				defer GinkgoRecover()
				done <- f.call("GET", fmt.Sprint("a", i), "").status
			}()
		}
		for range calls {
			Eventually(done, "10s").Should(Receive(BeNumerically(">=", 502)))
		}
		close(stop)
		Expect(peak.Load()).To(BeNumerically("<=", int64(testBufferBytes)))
		Eventually(f.relay.BufferedBytes, "2s").Should(BeZero())
	})
})
