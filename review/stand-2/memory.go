package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallMachine is the memory of a machine in MB (paseadores-gt).
	smallMachine = 134
	// longName is the length of a header that makes a head of less than max_header_bytes.
	longName = 15000
)

// memoryScene starts three routers of small machines and three plain servers.
func memoryScene(s *scene) error {
	s.configure(7, []any{plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 1000, false)}, []any{plainService("wuno96b")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}, map[string]any{"name": "fosa112", "api_keys": []string{otherKey}}})
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if err := s.addServer(&server{name: "plain-" + zone, service: "wuno96b", zone: zone, slots: 6, work: 4 * time.Millisecond}); err != nil {
			return err
		}
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := s.addRouter("edge-"+zone, zone, smallMachine); err != nil {
			return err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// name returns a name of n bytes that no other has.
func name(i, n int) string {
	tail := fmt.Sprintf("-%08d", i)
	return strings.Repeat("m", n-len(tail)) + tail
}

// flooded is the number of routers that get the requests: a tenth of the machines, two at
// least.
const flooded = 2

// maxEnds is how often the processes on a machine may not end by themselves in a day.
const maxEnds = 3

// floodHeader sends requests over a few connections to two of the routers, each answer read
// before the next request is sent, while ordinary consumers ask all routers. With trouble
// each request has another value of the header, without it all have the same.
func floodHeader(s *scene, trouble bool, header string) (bool, error) {
	if err := memoryScene(s); err != nil {
		return false, err
	}
	const senders, limit = 6, 100 * time.Second
	counts := newTally()
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { ordinary(ctx, s, counts) })
	var next atomic.Int64
	for n := range flooded * senders {
		group.Go(func() {
			x, client := s.routers[n%flooded], newClient(3*time.Second)
			for ctx.Err() == nil {
				i := int(next.Add(1))
				value := name(0, longName)
				if trouble {
					value = name(i, longName)
				}
				id := fmt.Sprintf("%016x", 1<<40+i)
				a := ask(client, x, http.MethodGet, fmt.Sprintf("/cufi504/f/%d", i%50), id, time.Second,
					map[string]string{"Authorization": "Bearer " + otherKey, header: value}, nil)
				counts.add("long "+header, a)
				if i%250 == 0 {
					s.note("request", "id", id, "router", x.name, header, short(value), "status", a.status, "runs", s.countRuns(id))
				}
				if a.status == 0 {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	broken := watchMemory(ctx, s)
	stop()
	group.Wait()
	for _, r := range s.routers {
		s.note("at the end", "router", r.name, "kb", r.memory(), "highest", r.highest, "limit", smallMachine*1024, "ended by the platform", r.ends)
	}
	s.note("answers", "counts", counts)
	return broken, nil
}

// watchMemory does what the platform does: a process that exceeds the memory of its machine
// is killed, and started again after a short delay. It returns true once that has happened
// often enough on enough machines.
func watchMemory(ctx context.Context, s *scene) (broken bool) {
	for n := 0; ctx.Err() == nil; n++ {
		over := 0
		for _, r := range s.routers {
			kb := r.memory()
			if n%20 == 0 {
				s.note("memory", "router", r.name, "kb", kb, "limit", smallMachine*1024)
			}
			if kb > smallMachine*1024 || !r.running() {
				r.ends++
				s.note("over the memory of its machine, so that the platform kills it", "router", r.name, "kb", kb, "limit", smallMachine*1024, "time", r.ends)
				r.kill()
				time.Sleep(300 * time.Millisecond)
				r.first = false
				if err := r.start(); err != nil {
					s.note("not started", "router", r.name, "error", err)
				}
			}
			if r.ends >= maxEnds {
				over++
			}
		}
		if over >= flooded {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// ordinary sends requests of an ordinary consumer to each router in turn.
func ordinary(ctx context.Context, s *scene, counts *tally) {
	client := newClient(3 * time.Second)
	for i := 0; ctx.Err() == nil; i++ {
		r := s.routers[i%len(s.routers)]
		id := fmt.Sprintf("%016x", 2<<40+i)
		a := ask(client, r, http.MethodGet, fmt.Sprintf("/cufi504/o/%d", i), id, time.Second, map[string]string{"Authorization": "Bearer " + key}, nil)
		counts.add("ordinary", a)
		if !a.served() || i%20 == 0 {
			s.note("ordinary request", "id", id, "router", r.name, "status", a.status, "bytes", len(a.body), "runs", s.countRuns(id))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// modelNames: requests whose Model no other has.
func modelNames(s *scene, trouble bool) (bool, error) { return floodHeader(s, trouble, "Model") }

// sessionNames: requests whose Session no other has.
func sessionNames(s *scene, trouble bool) (bool, error) { return floodHeader(s, trouble, "Session") }
