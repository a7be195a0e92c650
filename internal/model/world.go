// Package model searches every interleaving of small journal histories: routers
// that run the real logs, callers that repeat requests through any of them, and
// a platform that refuses calls, loses answers and lets writes arrive late.
package model

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Faults are how often each fault may strike in one history.
type Faults struct {
	Refusals int // platform refuses a call, which has no effect
	Losses   int // the answer of a write is lost, the write may arrive late
	Kills    int // a router dies for good
	Abandons int // a caller goes away before its request is sent
	Breaks   int // the link to the shard's owner breaks during a forward
}

// Scenario is the start of the histories to search.
type Scenario struct {
	Name     string
	Requests []Request // submitted in this order, at any time, to any router
	Faults   Faults
	Ring     int
	Forward  bool // router 0 owns the shard and others forward to it
}

// Request is one submission by a caller.
type Request struct {
	Key        int  // submissions with the same key are repeats
	Idempotent bool // only billed, not claimed
}

// stage is how far a submission has come.
type stage int

const (
	stageNew stage = iota
	stageForwarded
	stageClaiming
	stageGranted
	stageRunning
	stageFinishing
	stageDone
)

// verdict is what the caller was told.
type verdict int

const (
	verdictNone verdict = iota
	verdictNotRun
	verdictUnknown
	verdictAnswer
)

// submission is one request on one router.
type submission struct {
	request  Request
	router   int
	stage    stage
	verdict  verdict
	sent     bool
	lost     bool // the owner may write the claim yet
	outcome  bool // acknowledged
	bill     bool // acknowledged
	durable  bool // the bill is durable and not only queued
	recorded bool // the outcome is durable and not only queued
	granted  bool
	expects  bool // an outcome was durable when it was submitted
	released bool // a release was proposed
}

// call is an outstanding call to the platform, or one whose caller is gone.
type call struct {
	action shard.Action
	answer shard.Event // once the call has taken effect
}

// router is one router with its log of the one shard.
type router struct {
	log   *shard.Log
	dead  bool
	calls []call
}

// World is one state of a history.
type World struct {
	scenario *Scenario
	store    store
	routers  []router
	late     []shard.WriteObject // writes that nobody waits for
	requests []submission
	faults   Faults
}

// now is the one time of all histories: waits are over as soon as they begin.
var now = time.Unix(0, 0).UTC()

// parts of a ticket, which is ten times the submission's index and one of these.
const (
	ticketClaim = iota + 1
	ticketForwarded
	ticketOutcome
	ticketBill
	ticketRelease
	ticketAdopted
)

// New gives the state before anything is submitted.
func New(scenario *Scenario, routers int) *World {
	w := &World{scenario: scenario, store: newStore(), faults: scenario.Faults}
	settings := shard.Defaults()
	settings.Shards, settings.RingSize = 1, scenario.Ring
	settings.BatchInterval, settings.RetryDelay = 0, 0
	w.store.write(shard.WriteObject{
		Key: plat.JournalPrefix + "shape", Value: fmt.Appendf(nil, `{"shards":1,"ring":%d}`, scenario.Ring),
	})
	for i := range routers {
		w.routers = append(w.routers, router{log: shard.NewLog(0, shard.Nonce(rune('a'+i)), settings)})
	}
	for _, r := range scenario.Requests {
		w.requests = append(w.requests, submission{request: r, router: -1})
	}
	return w
}

func (w *World) clone() *World {
	c := *w
	c.store = w.store.clone()
	c.routers = slices.Clone(w.routers)
	c.late = slices.Clone(w.late)
	c.requests = slices.Clone(w.requests)
	for i := range c.routers {
		r := &c.routers[i]
		r.log = r.log.Clone()
		r.calls = slices.Clone(r.calls)
	}
	return &c
}

// digest writes all that the world's future depends on.
func (w *World) digest(out io.Writer) {
	for _, r := range w.routers {
		if r.dead {
			io.WriteString(out, "dead")
			continue
		}
		r.log.Digest(out)
		for _, c := range r.calls {
			c.digest(out)
		}
	}
	for _, a := range w.late {
		call{action: a}.digest(out)
	}
	fmt.Fprint(out, w.requests, w.faults)
	w.store.digest(out)
}

func (c call) digest(out io.Writer) {
	switch a := c.action.(type) {
	case shard.WriteObject:
		fmt.Fprint(out, "write", a.Call, a.Expect, a.Key)
		out.Write(a.Value)
	case shard.ReadObject:
		fmt.Fprint(out, "read", a.Call, a.Key)
	case shard.ListObjects:
		fmt.Fprint(out, "list", a.Call, a.Prefix)
	}
	if p, ok := c.answer.(shard.WriteDone); ok {
		fmt.Fprint(out, "answer", p.Version, p.Err)
	}
}

// step gives a router an event and carries out what follows.
func (w *World) step(r int, event shard.Event) {
	for _, action := range w.routers[r].log.Step(now, event) {
		switch a := action.(type) {
		case shard.Reply:
			w.reply(r, a)
		case shard.DeleteObject:
			w.store.perform(a)
		default:
			w.routers[r].calls = append(w.routers[r].calls, call{action: a})
		}
	}
}

func (w *World) claim(i int) shard.Claim {
	return shard.Claim{Key: w.key(i), Nonce: nonce(i), At: now}
}

func (w *World) key(i int) ident.RequestKey {
	return ident.RequestKey{Team: "t", Request: ident.RequestID(fmt.Sprint(w.requests[i].request.Key))}
}

func nonce(i int) shard.Nonce {
	return shard.Nonce(fmt.Sprint("n", i))
}

func ticket(i, part int) shard.ProposalID {
	return shard.ProposalID(10*i + part)
}
