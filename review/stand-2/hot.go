package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hotRequest: one tenant polls one path, another asks for many; a zone's servers are down
// for a moment and come back.
func hotRequest(s *scene, trouble bool) (bool, error) {
	s.configure(7, []any{plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 5000, false)}, []any{plainService("wuno96b")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}, map[string]any{"name": "fosa112", "api_keys": []string{otherKey}}})
	for i := range 9 {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		if err := s.addServer(&server{name: fmt.Sprintf("plain-%d", i), service: "wuno96b", zone: zone, slots: 12, work: 1200 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := s.addRouter("edge-"+zone, zone, 284); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	const reports, others = 25, 65 // requests at a time: reports are 0.278 of all
	begin, counts := time.Now(), newTally()
	ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
	defer stop()
	var group sync.WaitGroup
	for n := range reports {
		group.Go(func() { // one consumer, whose connections all come to one node
			client := newClient(6 * time.Second)
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%016x", (n+1)<<40+i)
				a := ask(client, s.routers[0], http.MethodGet, "/cufi504/report", id, 5*time.Second, map[string]string{"Authorization": "Bearer " + otherKey}, nil)
				counts.add("report of fosa112", a)
				s.note("report", "id", id, "status", a.status, "after", a.header.Get("Retry-After"), "runs", s.countRuns(id))
				wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				if err != nil && !a.served() {
					wait = 0.2
				}
				time.Sleep(time.Duration(wait * float64(time.Second)))
			}
		})
	}
	for n := range others {
		group.Go(func() {
			client := newClient(6 * time.Second)
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%016x", (n+101)<<40+i)
				a := ask(client, s.routers[n%3], http.MethodGet, fmt.Sprintf("/cufi504/%d/%d", n, i), id, 5*time.Second, map[string]string{"Authorization": "Bearer " + key}, nil)
				counts.add("requests of hule930", a)
				if !a.served() || i%20 == 0 {
					s.note("request", "id", id, "status", a.status, "runs", s.countRuns(id))
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	s.note("before", "answers", counts)
	if trouble {
		for _, x := range s.servers {
			if x.zone == "z-b" {
				x.crash()
				s.note("server down", "server", x.name)
			}
		}
		time.Sleep(4 * time.Second)
		for _, x := range s.servers {
			if x.zone == "z-b" {
				if err := x.start(); err != nil {
					return false, err
				}
				s.note("server back", "server", x.name)
			}
		}
	}
	group.Wait()
	share := func(kind string) float64 {
		return float64(counts.get(kind+" served")) / float64(max(1, counts.get(kind+" all")))
	}
	all := float64(counts.get("report of fosa112 served")+counts.get("requests of hule930 served")) / float64(max(1, counts.get("report of fosa112 all")+counts.get("requests of hule930 all")))
	s.note("answers", "counts", counts, "seconds", time.Since(begin).Seconds())
	s.note("served", "fosa112", fmt.Sprintf("%.3f", share("report of fosa112")), "all", fmt.Sprintf("%.3f", all))
	return share("report of fosa112") < all/4, nil
}
