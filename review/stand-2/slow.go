package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// slowKind: a service has a kind of request that takes its servers 15 ms and one that takes
// them 1.5 s; another service has a third kind. One tenant, which sends the second kind, sends many times its usual for some
// seconds.
func slowKind(s *scene, trouble bool) (bool, error) {
	export := plainRoute("r-export", "/export/", "idempotent", "wuno96b", 2, 10000, false)
	export["target_latency_ms"] = 3000
	s.configure(7, []any{
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 1000, false), export,
		plainRoute("r-credit", "/puxa403/", "non_idempotent", "huvo11a", 1, 1000, false),
	}, []any{plainService("wuno96b"), plainService("huvo11a")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}, map[string]any{"name": "fosa112", "api_keys": []string{otherKey}}})
	for i := range 9 {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		if err := s.addServer(&server{name: fmt.Sprintf("plain-%d", i), service: "wuno96b", zone: zone, slots: 6, work: 15 * time.Millisecond, slowPath: "/export/", slowWork: 1500 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if err := s.addServer(&server{name: "credit-" + zone, service: "huvo11a", zone: zone, slots: 6, work: 15 * time.Millisecond}); err != nil {
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
	const (
		reads   = 4.0 // a second
		exports = 2.4 // a second, of the tenant
		times   = 7.5
		credits = 6.0 // a second
		before  = 4 * time.Second
		hot     = 6500 * time.Millisecond
		length  = 95 * time.Second
	)
	counts := newTally()
	var group sync.WaitGroup
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	begin := time.Now()
	client := newClient(11 * time.Second)
	send := func(kind, method, bearer, prefix string, deadline time.Duration, first int, rate func() float64) {
		for i := 0; ctx.Err() == nil; i++ {
			group.Go(func() {
				id := fmt.Sprintf("%016x", first<<40+i)
				a := ask(client, s.routers[i%3], method, fmt.Sprintf("%s%d", prefix, i), id, deadline, map[string]string{"Authorization": "Bearer " + bearer}, nil)
				counts.add(kind, a)
				s.note(kind, "id", id, "router", s.routers[i%3].name, "status", a.status, "took", a.took.Round(time.Millisecond), "runs", s.countRuns(id))
			})
			time.Sleep(time.Duration(float64(time.Second) / rate()))
		}
	}
	group.Go(func() {
		send("read", http.MethodGet, key, "/cufi504/", time.Second, 1, func() float64 { return reads })
	})
	group.Go(func() {
		send("credit", http.MethodPost, key, "/puxa403/", time.Second, 3, func() float64 { return credits })
	})
	group.Go(func() {
		send("export", http.MethodGet, otherKey, "/export/", 10*time.Second, 2, func() float64 {
			if at := time.Since(begin); trouble && at >= before && at < before+hot {
				return exports * times
			}
			return exports
		})
	})
	group.Wait()
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	all := share(counts.get("read served")+counts.get("export served")+counts.get("credit served"), counts.get("read all")+counts.get("export all")+counts.get("credit all"))
	read := share(counts.get("read served"), counts.get("read all"))
	s.note("answers", "counts", counts)
	s.note("served", "reads", fmt.Sprintf("%.3f", read), "all", fmt.Sprintf("%.3f", all))
	return read < all/4, nil
}
