package cmd

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	nonceBytes         = 16
	statusPollInterval = 200 * time.Millisecond
)

// WaitFlag is the flag shared by the commands that publish a change.
type WaitFlag struct {
	Wait time.Duration `help:"How long to wait until every router has the change in force; 0 not to wait." default:"30s"`
}

// publishResult is the JSON result of a command that publishes a change.
type publishResult struct {
	publsh.Result
	Everywhere bool     `json:"everywhere"`
	Seconds    float64  `json:"seconds"` // until every router had applied the change
	Skipped    []string `json:"unheard"` // routers not waited for, since no router receives their heartbeats
}

// publishChange publishes a change and waits until the routers have applied it. A
// publication that is refused or interrupted leaves the current configuration
// unchanged.
func (r *Run) publishChange(change publsh.Change, expect ident.Generation, wait WaitFlag) (publishResult, error) {
	p, _, err := r.publisher()
	if err != nil {
		return publishResult{}, err
	}
	if wait.Wait > 0 {
		if err := r.requireAdmin(); err != nil {
			return publishResult{}, badInput(fmt.Errorf("%w, or --wait 0 not to wait", err))
		}
	}
	nonce, err := r.random(nonceBytes)
	if err != nil {
		return publishResult{}, err
	}
	start := r.Now()
	result, err := p.Publish(r.ctx, publsh.Request{Change: change, Operator: r.User, Nonce: nonce, Expect: expect})
	if err != nil {
		return publishResult{}, err
	}
	r.progressf("%s", formatResult(result))
	out := publishResult{Result: result, Skipped: []string{}}
	if wait.Wait == 0 {
		return out, nil
	}
	if err := r.waitForRouters(p, result.Generation, wait); err != nil {
		return out, err
	}
	out.Everywhere = true
	out.Seconds = r.Now().Sub(start).Seconds()
	out.Skipped = r.skippedRouters()
	r.progressf("generation %d is in force on every router after %.1f s", result.Generation, out.Seconds)
	return out, nil
}

// publishAndPrint publishes a change and, with --json, prints the result.
func (r *Run) publishAndPrint(change publsh.Change, expect ident.Generation, wait WaitFlag) error {
	result, err := r.publishChange(change, expect, wait)
	if err != nil {
		return err
	}
	if r.flags.JSON {
		return r.printJSON(result)
	}
	return nil
}

// waitForRouters waits until every live router has the generation in force, and
// prints the progress whenever it changes.
func (r *Run) waitForRouters(p *publsh.Publisher, generation ident.Generation, wait WaitFlag) error {
	ctx, cancel := context.WithTimeout(r.ctx, wait.Wait)
	defer cancel()
	last := ""
	report := func(progress publsh.Progress) {
		line := formatProgress(progress)
		if line != last {
			r.progressf("%s", line)
			last = line
		}
	}
	return p.Await(ctx, generation, r.liveRouters, statusPollInterval, report)
}

// skippedRouters returns the routers that were not waited for: those that the
// platform lists, but of which no router receives heartbeats, and those with an
// expired observation. Such a router stops serving by itself if it is alive.
func (r *Run) skippedRouters() []string {
	names := []string{}
	replies, err := r.fetchStatuses(r.ctx)
	if err != nil {
		return names
	}
	known := map[string]bool{}
	for _, o := range mergeReplies(replies) {
		known[string(o.router.ID)] = true
		if o.expired() {
			names = append(names, string(o.router.ID))
		}
	}
	for _, i := range r.instances() {
		if !i.Leaving && !known[i.ID] {
			names = append(names, i.ID)
		}
	}
	if len(names) > 0 {
		r.progressf("not waited for, since no router receives its heartbeats: %s; if it is alive, it has stopped serving", strings.Join(names, ", "))
	}
	return names
}

// instances returns the platform's list of routers, or nil if it is unavailable.
func (r *Run) instances() []plat.Instance {
	platform, err := r.platform()
	if err != nil {
		return nil
	}
	instances, err := platform.Instances(r.ctx, plat.ClassStatus)
	if err != nil {
		return nil
	}
	return instances
}

func formatProgress(p publsh.Progress) string {
	if p.QueryError != nil {
		return fmt.Sprintf("waiting: %v", p.QueryError)
	}
	names := make([]string, len(p.Lagging))
	for i, router := range p.Lagging {
		names[i] = string(router.ID)
	}
	line := fmt.Sprintf("generation %d: %d of %d routers", p.Generation, p.Applied, p.Applied+len(p.Lagging))
	if len(names) > 0 {
		line += ", waiting for " + strings.Join(names, ", ")
	}
	return line
}

func formatResult(result publsh.Result) string {
	if len(result.Changed) == 0 {
		return fmt.Sprintf("nothing to change: generation %d already contains it", result.Generation)
	}
	return fmt.Sprintf("generation %d accepted, changes %s", result.Generation, strings.Join(result.Changed, ", "))
}

// random returns n random bytes in hexadecimal.
func (r *Run) random(n int) (string, error) {
	raw := make([]byte, n)
	if _, err := io.ReadFull(r.Random, raw); err != nil {
		return "", fmt.Errorf("reading random bytes: %w", err)
	}
	return hex.EncodeToString(raw), nil
}
