package admit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// TicketID names a ticket; the caller of Ask never uses one twice.
type TicketID uint64

// Ticket is a request that asks to start.
type Ticket struct {
	ID          TicketID
	Team        ident.TeamID // is charged
	Priority    fleet.Priority
	Weight      int           // the team's share under contention, at least 1
	Rate        float64       // the team's requests a second, 0 for no limit
	Burst       int           // the team's requests at once
	Cost        float64       // in slots that it occupies, usually 1; 0 counts as 1
	ServiceTime time.Duration // expected from start to end; 0 takes the mean of what was seen
	Deadline    time.Time
	ShortAnswer bool // a quick answer, shed last
}

// Verdict is the answer to a ticket: Admit, Queue or Refuse.
type Decision interface{ verdict() }

// Admit means that the request may start; Done must follow.
type Admit struct{ Ticket TicketID }

// Queue means that the request waits; Tick or Done gives its final verdict.
type Queue struct {
	Ticket       TicketID
	Position     int           // tickets of the team ahead of it
	ExpectedWait time.Duration // expected
}

// Refuse is final: the request did not start and will not.
type Refuse struct {
	Ticket     TicketID
	Reason     Reason
	RetryAfter time.Duration // when to come back
}

func (Admit) verdict()  {}
func (Queue) verdict()  {}
func (Refuse) verdict() {}

// Reason says why a ticket is refused.
type Reason string

// The reasons.
const (
	ReasonRateLimit Reason = "rate"     // the team asks more often than it may
	ReasonDeadline  Reason = "deadline" // it could not be answered in time
	ReasonQueueFull Reason = "full"     // its queue is full
	ReasonShed      Reason = "shed"     // made way for a ticket that goes first
)
