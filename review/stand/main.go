// Command reviewstand shows the cases of the review: it starts the deploy file's router
// as separate processes and plays the store, the servers and the consumers around them.
//
// Usage: reviewstand CASE DIR, in the repository's root. It writes DIR/record.txt and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// maxRuntime ends a case that hangs.
const maxRuntime = 115 * time.Second

var cases = map[string]func(*run) (broken bool, err error){
	"revoked-keys": revokedKeys,
	"spoiled-head": spoiledHead,
	"known-part":   knownPart,
	"given-up":     givenUp,
}

// run is one run of a case.
type run struct {
	trouble bool // whether the disruption is made
	dir     string
	started time.Time

	lock   sync.Mutex
	record *os.File

	store   *store
	routers []*router
	servers []*server
	log     *executions
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all that the run has started.
func (r *run) end() {
	for _, p := range r.routers {
		p.kill()
	}
	for _, s := range r.servers {
		s.crash()
	}
	if r.store != nil {
		r.store.close()
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE DIR")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer record.Close()
	settings, err := os.MkdirTemp("", "reviewstand-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer os.RemoveAll(settings)
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: settings, started: time.Now(), record: record, log: &executions{}}
	r.note("case %s, with the disruption: %v", name, r.trouble)
	defer r.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		done <- result{broken, err}
	}()
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			r.note("the case could not run: %v", x.err)
			fmt.Fprintln(os.Stderr, x.err)
			return exitUnable
		case x.broken:
			r.note("the rule was broken")
			return exitBroken
		}
		r.note("the rule held")
		return exitHeld
	case <-time.After(maxRuntime):
		r.note("the case could not run: it took too long")
		return exitUnable
	}
}
