package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sentAhead: a consumer sends two requests on a kept connection before it reads the answer
// to the first, as HTTP/1.1 allows, and reads both answers.
func sentAhead(s *scene, trouble bool) (bool, error) {
	s.configure(7, []any{plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 10000, false)}, []any{plainService("wuno96b")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}})
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if err := s.addServer(&server{name: "plain-" + zone, service: "wuno96b", zone: zone, slots: 6, work: 5 * time.Second}); err != nil {
			return false, err
		}
	}
	x, err := s.addRouter("edge-z-a", "z-a", 284)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	lost := 0
	for n := range 6 {
		c, err := net.Dial("tcp4", x.listen)
		if err != nil {
			return false, err
		}
		request := func(i int, path string) string {
			return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %08x%08x\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer %s\r\n\r\n", path, host, n, i, key)
		}
		r := bufio.NewReader(c)
		send := [][]string{{request(0, "/none/")}, {request(1, "/cufi504/")}}
		if trouble {
			send = [][]string{{request(0, "/none/"), request(1, "/cufi504/")}, nil}
		}
		for i, texts := range send {
			all := ""
			for _, t := range texts {
				all += t
			}
			_, _ = io.WriteString(c, all)
			start := time.Now()
			response, err := http.ReadResponse(r, nil)
			status := 0
			if err == nil {
				status = response.StatusCode
				_, _ = io.Copy(io.Discard, response.Body)
			}
			id := fmt.Sprintf("%08x%08x", n, i)
			s.note("answer", "id", id, "status", status, "took", time.Since(start).Round(time.Millisecond), "error", err, "runs", s.countRuns(id))
			if i == 1 && status == 0 && s.countRuns(id) > 0 {
				lost++
			}
		}
		_ = c.Close()
	}
	s.note("lost", "requests", lost)
	return lost > 3, nil
}
