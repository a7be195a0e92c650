package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections that the crowd keeps open to one router.
	crowdSize = 660
	// crowdPause is the time between two requests of the crowd on a connection.
	crowdPause = 2020 * time.Millisecond
	// newcomers is the number of ordinary consumers, each of which opens a connection for
	// each request.
	newcomers = 16
	// contact is contact_ms of the sheets.
	contact = 3 * time.Second
)

// crowdOfKept: a crowd keeps connections open and sends a short request on each now and
// then, all at the same moment, while ordinary consumers open new connections.
func crowdOfKept(s *scene, trouble bool) (bool, error) {
	s.configure(7, []any{plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 1000, false)}, []any{plainService("wuno96b")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}})
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if err := s.addServer(&server{name: "plain-" + zone, service: "wuno96b", zone: zone, slots: 6, work: 4 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	x, err := s.addRouter("edge-z-a", "z-a", smallMachine)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
	defer stop()
	var group sync.WaitGroup
	var open, sent, answered atomic.Int64
	if trouble {
		start := time.Now()
		for n := range crowdSize {
			group.Go(func() { crowdMember(ctx, x, n, start, &open, &sent, &answered) })
		}
	}
	last := newLastAnswers(newcomers)
	counts := newTally()
	for n := range newcomers {
		group.Go(func() { newcomer(ctx, x, n, counts, last) })
	}
	broken := false
	for ctx.Err() == nil && !broken {
		time.Sleep(250 * time.Millisecond)
		quiet, tries := last.quiet(time.Now())
		ready := x.isReady()
		s.note("looked", "open", open.Load(), "sent", sent.Load(), "answered", answered.Load(), "ready", ready, "no new connection taken for", quiet.Round(time.Millisecond), "consumers that tried", tries)
		broken = ready && quiet >= contact+time.Second && tries >= 7
	}
	if broken {
		for range 4 { // it does not recover
			time.Sleep(2 * time.Second)
			quiet, tries := last.quiet(time.Now())
			s.note("looked again", "ready", x.isReady(), "no new connection taken for", quiet.Round(time.Millisecond), "consumers that tried", tries, "open", open.Load())
		}
	}
	stop()
	group.Wait()
	s.note("new connections", "answers", counts)
	return broken, nil
}

// crowdMember keeps one connection open, and opens another one when it is closed.
func crowdMember(ctx context.Context, x *router, n int, start time.Time, open, sent, answered *atomic.Int64) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+n%50))}}
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp4", x.listen)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		open.Add(1)
		end := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the read
		r := bufio.NewReaderSize(c, 512)
		for i := 0; ctx.Err() == nil; i++ {
			if _, err := fmt.Fprintf(c, "GET /none/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %08x%08x\r\nDeadline-Ms: 1000\r\n\r\n", n, host, n, i); err != nil {
				break
			}
			sent.Add(1)
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body) // an error shows at the next request
			answered.Add(1)
			passed := time.Since(start)
			time.Sleep((passed/crowdPause+1)*crowdPause - passed)
		}
		end()
		_ = c.Close() // nothing is awaited
		open.Add(-1)
		time.Sleep(50 * time.Millisecond)
	}
}

// newcomer is an ordinary consumer that opens a connection for each request.
func newcomer(ctx context.Context, x *router, n int, counts *tally, last *lastAnswers) {
	for i := 0; ctx.Err() == nil; i++ {
		client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
		last.try(n)
		a := ask(client, x, http.MethodGet, fmt.Sprintf("/cufi504/o/%d", i), fmt.Sprintf("%08x%08x", 1<<20+n, i), time.Second, map[string]string{"Authorization": "Bearer " + key}, nil)
		if a.status != 0 {
			last.answered()
		}
		counts.add("new", a)
		if i%50 == 0 || !a.served() {
			x.scene.note("new connection", "consumer", n, "id", fmt.Sprintf("%08x%08x", 1<<20+n, i), "status", a.status, "took", a.took.Round(time.Millisecond), "error", a.err)
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// lastAnswers tells since when no new connection was taken.
type lastAnswers struct {
	lock  sync.Mutex
	at    time.Time
	tried []time.Time
}

func newLastAnswers(n int) *lastAnswers {
	return &lastAnswers{at: time.Now(), tried: make([]time.Time, n)}
}

func (l *lastAnswers) try(n int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.tried[n] = time.Now()
}

func (l *lastAnswers) answered() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.at = time.Now()
}

// quiet returns the time since a new connection was last answered, and how many consumers
// have opened one since.
func (l *lastAnswers) quiet(now time.Time) (time.Duration, int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	n := 0
	for _, at := range l.tried {
		if at.After(l.at) {
			n++
		}
	}
	return now.Sub(l.at), n
}
