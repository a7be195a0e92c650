// Package model checks the journal by exhaustive search over the interleavings of
// small histories: routers run the real shard logs, callers repeat requests
// through any router, and the platform refuses calls, loses responses and applies
// writes late.
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

// Faults limits how often each fault may occur in one history.
type Faults struct {
	Refusals int // the platform refuses a call, which has no effect
	Losses   int // the response to a write is lost, and the write may be applied late
	Kills    int // a router terminates and does not restart
	Abandons int // a caller cancels before its request is sent
	Breaks   int // the link to the shard's owner breaks during a forward
}

// Scenario is the initial state and the fault limits of the histories to search.
type Scenario struct {
	Name     string
	Requests []Request // submitted in this order, at any time, to any router
	Faults   Faults
	Ring     int
	Forward  bool // router 0 owns the shard and others forward to it
}

// Request is one submission by a caller.
type Request struct {
	Key        int  // submissions with the same key are duplicates
	Idempotent bool // only billed, not claimed
}

// stage is the progress of a submission.
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

// callerResult is the result reported to the caller.
type callerResult int

const (
	resultNone callerResult = iota
	resultNotRun
	resultUnknown
	resultAnswered
)

// submission is the state of one request on one router.
type submission struct {
	request         Request
	router          int
	stage           stage
	result          callerResult
	sent            bool
	claimUncertain  bool // the owner may still write the claim
	outcomeAcked    bool
	billAcked       bool
	billDurable     bool // durable, not only queued
	outcomeDurable  bool // durable, not only queued
	granted         bool
	outcomeExpected bool // an outcome of its key was durable when it was submitted
	released        bool // a release was proposed
}

// call is an outstanding call to the platform.
type call struct {
	action   shard.Action
	response shard.Event // set once the call has taken effect
}

// router is one router with its log of the only shard.
type router struct {
	log   *shard.Log
	dead  bool
	calls []call
}

// State is one state of a history.
type State struct {
	scenario    *Scenario
	store       store
	routers     []router
	lateWrites  []shard.WriteObject // writes that may still be applied, but whose callers no longer wait
	submissions []submission
	faults      Faults
}

// now is the constant time of all histories; waits end immediately.
var now = time.Unix(0, 0).UTC()

// Kinds of tickets. A ticket is ten times the submission's index plus its kind.
const (
	ticketClaim = iota + 1
	ticketForwarded
	ticketOutcome
	ticketBill
	ticketRelease
	ticketAdopted
)

// NewState returns the state before any submission.
func NewState(scenario *Scenario, routers int) *State {
	st := &State{scenario: scenario, store: newStore(), faults: scenario.Faults}
	settings := shard.Defaults()
	settings.Shards, settings.RingSize = 1, scenario.Ring
	settings.BatchInterval, settings.RetryDelay = 0, 0
	st.store.write(shard.WriteObject{
		Key: plat.JournalPrefix + "shape", Value: fmt.Appendf(nil, `{"shards":1,"ring":%d}`, scenario.Ring),
	})
	for i := range routers {
		st.routers = append(st.routers, router{log: shard.NewLog(0, shard.Nonce(rune('a'+i)), settings)})
	}
	for _, r := range scenario.Requests {
		st.submissions = append(st.submissions, submission{request: r, router: -1})
	}
	return st
}

func (st *State) clone() *State {
	c := *st
	c.store = st.store.clone()
	c.routers = slices.Clone(st.routers)
	c.lateWrites = slices.Clone(st.lateWrites)
	c.submissions = slices.Clone(st.submissions)
	for i := range c.routers {
		r := &c.routers[i]
		r.log = r.log.Clone()
		r.calls = slices.Clone(r.calls)
	}
	return &c
}

// digest writes everything that determines the possible transitions of the state.
func (st *State) digest(out io.Writer) {
	for _, r := range st.routers {
		if r.dead {
			io.WriteString(out, "dead")
			continue
		}
		r.log.Digest(out)
		for _, c := range r.calls {
			c.digest(out)
		}
	}
	for _, a := range st.lateWrites {
		call{action: a}.digest(out)
	}
	fmt.Fprint(out, st.submissions, st.faults)
	st.store.digest(out)
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
	if p, ok := c.response.(shard.WriteDone); ok {
		fmt.Fprint(out, "answer", p.Version, p.Err)
	}
}

// applyEvent passes an event to a router's log and performs the resulting
// actions.
func (st *State) applyEvent(r int, event shard.Event) {
	for _, action := range st.routers[r].log.Step(now, event) {
		switch a := action.(type) {
		case shard.Reply:
			st.handleReply(r, a)
		case shard.DeleteObject:
			st.store.perform(a)
		default:
			st.routers[r].calls = append(st.routers[r].calls, call{action: a})
		}
	}
}

func (st *State) claimRecord(i int) shard.Claim {
	return shard.Claim{Key: st.requestKey(i), Nonce: claimNonce(i), At: now}
}

func (st *State) requestKey(i int) ident.RequestKey {
	return ident.RequestKey{Team: "t", Request: ident.RequestID(fmt.Sprint(st.submissions[i].request.Key))}
}

func claimNonce(i int) shard.Nonce {
	return shard.Nonce(fmt.Sprint("n", i))
}

func ticket(i, kind int) shard.ProposalID {
	return shard.ProposalID(10*i + kind)
}
