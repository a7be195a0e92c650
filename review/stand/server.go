package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// execution is a request that a server has begun to work on.
type execution struct {
	id, server, tenant, path string
	at                       time.Time
	ended                    time.Time
}

// executions records what servers have run.
type executions struct {
	lock sync.Mutex
	list []*execution
}

func (l *executions) add(e *execution) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.list = append(l.list, e)
}

// of returns the runs of a request.
func (l *executions) of(id string) []*execution {
	l.lock.Lock()
	defer l.lock.Unlock()
	var found []*execution
	for _, e := range l.list {
		if e.id == id {
			found = append(found, e)
		}
	}
	return found
}

// behaviour answers a request that a server runs.
type behaviour func(s *server, w http.ResponseWriter, q *http.Request, e *execution)

// server plays a server of a service.
type server struct {
	run           *run
	name, service string
	zone          string
	answer        behaviour

	lock    sync.Mutex
	conns   map[net.Conn]bool // to routers, with whether a request is in progress
	life    int
	id      string
	born    int64
	answers int
	http    *http.Server
}

// startServer starts a server and registers it in the store.
func (r *run) startServer(name, service, zone string, answer behaviour) error {
	s := &server{run: r, name: name, service: service, zone: zone, answer: answer}
	r.servers = append(r.servers, s)
	return s.start()
}

// start starts the next lifetime, under a new id and at a new address.
func (s *server) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.life++
	s.id, s.born = fmt.Sprintf("i-%s-%d", s.name, s.life), time.Now().UnixMilli()
	id := s.id
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(w, q, id) }), ConnState: s.stateChanged}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	s.run.store.set("servers", id, map[string]any{
		"service": s.service, "address": l.Addr().String(), "zone": s.zone, "version": "v1", "slots": 16,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
	s.run.note("server %s starts", id)
	return nil
}

// stateChanged keeps track of the connections.
func (s *server) stateChanged(c net.Conn, state http.ConnState) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
		s.conns[c] = state == http.StateActive
	}
}

// resetHalf resets every second connection, and returns how many of those carried a request.
func (s *server) resetHalf() int {
	s.lock.Lock()
	var chosen []net.Conn
	busy, n := 0, 0
	for c, active := range s.conns {
		if n++; n%2 == 0 {
			continue
		}
		chosen = append(chosen, c)
		if active {
			busy++
		}
	}
	s.lock.Unlock()
	for _, c := range chosen {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return busy
}

// entryLife is how long the entry of a server that has crashed stays: three heartbeats.
const entryLife = 3 * 1200 * time.Millisecond

// crash ends the lifetime. The connections break, and the entry lapses later.
func (s *server) crash() bool {
	s.lock.Lock()
	h, id := s.http, s.id
	s.http = nil
	s.lock.Unlock()
	if h == nil {
		return false
	}
	_ = h.Close()
	time.AfterFunc(entryLife, func() { s.run.store.remove("servers", id) })
	return true
}

func (s *server) serve(w http.ResponseWriter, q *http.Request, id string) {
	h := w.Header()
	h.Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	if want := q.Header.Get("Expect-Instance"); want != "" && want != id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	e := &execution{id: q.Header.Get("Attempt-Id"), server: id, tenant: q.Header.Get("Tenant"), path: q.URL.Path, at: time.Now()}
	s.run.log.add(e)
	s.run.note("server %s runs request %s, tenant %q", id, e.id, e.tenant)
	s.lock.Lock()
	s.answers++
	s.lock.Unlock()
	h.Set("Server-Stamp", "proof-of-"+id)
	s.answer(s, w, q, e)
	s.run.log.lock.Lock()
	e.ended = time.Now()
	s.run.log.lock.Unlock()
}

// plain answers with a body after the work is done.
func plain(work time.Duration) behaviour {
	return func(_ *server, w http.ResponseWriter, _ *http.Request, e *execution) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done "+e.id)
	}
}

// stream answers with n events, one each pause, after the last that the consumer has.
func stream(n int, pause time.Duration) behaviour {
	return func(_ *server, w http.ResponseWriter, q *http.Request, e *execution) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := 0
		if _, err := fmt.Sscan(q.Header.Get("Last-Event-Id"), &first); err == nil {
			first++
		}
		for i := first; i < n; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d of %d of %s\n\n", i, i, n, e.id)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// hasPart reports whether a part of a prompt but the last is the given one.
func hasPart(q *http.Request, part string) bool {
	parts := strings.Split(q.Header.Get("Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if strings.HasPrefix(p, part+":") {
			return true
		}
	}
	return false
}
