package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// beat is the interval at which servers write their entries.
const beat = 1200 * time.Millisecond

// maxQueue is the number of requests that wait for a slot; others are turned away.
const maxQueue = 24

// server is a plain server, or a model server if it has models.
type server struct {
	scene   *scene
	name    string
	service string
	zone    string
	models  []string
	slots   int
	work    time.Duration // of a plain request, or until the first event of a stream
	gap     time.Duration // between two events
	events  int

	slowPath string // prefix of the paths of requests that take slowWork, if set
	slowWork time.Duration

	lock  sync.Mutex
	queue atomic.Int32 // requests that wait for one
	id    string
	lives int
	http  *http.Server
	addr  string
	end   context.CancelFunc
}

// start starts a lifetime of the server with a new id.
func (x *server) start() error {
	x.lock.Lock()
	defer x.lock.Unlock()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start server %s: %w", x.name, err)
	}
	x.lives++
	x.id = fmt.Sprintf("i-%s-%d", x.name, x.lives)
	x.addr = l.Addr().String()
	id, room := x.id, make(chan struct{}, x.slots)
	ctx, cancel := context.WithCancel(context.Background())
	x.end = cancel
	x.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(w, r, id, room) }), IdleTimeout: 20 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(x.http) // returns when the lifetime ends
	born, address := time.Now().UnixMilli(), x.addr
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			x.scene.store.set("servers", id, map[string]any{
				"service": x.service, "address": address, "zone": x.zone, "version": "v1", "slots": x.slots,
				"state": "ready", "cold_remaining_ms": 0, "sequence": n, "born": born,
			})
			select {
			case <-ctx.Done():
			case <-time.After(beat):
			}
		}
	}()
	return nil
}

// crash ends the lifetime without notice. The store removes its entry after three
// intervals of silence.
func (x *server) crash() {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.http == nil {
		return
	}
	x.end()
	_ = x.http.Close() // breaks its connections
	x.http = nil
	id := x.id
	time.AfterFunc(3*beat, func() { x.scene.store.remove("servers", id) })
}

func (x *server) serve(w http.ResponseWriter, r *http.Request, id string, room chan struct{}) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	turnAway := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a request that does not come whole is not run
	}
	model := r.Header.Get("Model")
	switch want := r.Header.Get("Expect-Instance"); {
	case attempt == "":
		turnAway(http.StatusBadRequest)
		return
	case want != "" && want != id, len(x.models) > 0 && !slices.Contains(x.models, model):
		x.scene.note("turned away", "id", attempt, "server", id, "status", 421, "model", short(model))
		turnAway(http.StatusMisdirectedRequest)
		return
	}
	if x.queue.Add(1) > maxQueue {
		x.queue.Add(-1)
		turnAway(http.StatusServiceUnavailable)
		return
	}
	select {
	case room <- struct{}{}:
		x.queue.Add(-1)
		defer func() { <-room }()
	case <-r.Context().Done():
		x.queue.Add(-1)
		return
	}
	x.scene.ran(attempt, id, r, len(body))
	h.Set("Server-Stamp", "stamp."+id+"."+attempt)
	select {
	case <-time.After(x.workOf(r)):
	case <-r.Context().Done():
		return
	}
	if len(x.models) == 0 {
		fmt.Fprintf(w, "answer to %s by %s", attempt, id)
		return
	}
	x.stream(w, r, attempt)
}

func (x *server) workOf(r *http.Request) time.Duration {
	if x.slowPath != "" && strings.HasPrefix(r.URL.Path, x.slowPath) {
		return x.slowWork
	}
	return x.work
}

// stream sends the events after the last one that the caller has.
func (x *server) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Confidence", "95")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= x.events; i++ {
		if i > first {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(x.gap):
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, attempt, i, x.events)
		_ = http.NewResponseController(w).Flush() // fails only if the caller has left
	}
}

func short(s string) string {
	if len(s) > 24 {
		return s[:24] + fmt.Sprintf("... (%d bytes)", len(s))
	}
	return s
}
