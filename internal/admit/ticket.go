package admit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// TicketID identifies a ticket. Each one is used only once.
type TicketID uint64

// Ticket is a request for admission.
type Ticket struct {
	ID          TicketID
	Team        ident.TeamID // charged for the slots
	Priority    fleet.Priority
	Weight      int           // the team's share under contention, at least 1
	Rate        float64       // limit of the team's requests per second, 0 for none
	Burst       int           // burst size of that limit
	Cost        float64       // slots that it occupies, usually 1; 0 counts as 1
	ServiceTime time.Duration // expected, 0 for the observed mean
	Deadline    time.Time
	ShortAnswer bool // expects a short answer, shed last
}

// Decision is the result for a ticket: Admit, Queue or Refuse.
type Decision interface{ decision() }

// Admit means that the request may start. Gate.Done must follow.
type Admit struct{ Ticket TicketID }

// Queue means that the request waits. A later call returns the final decision.
type Queue struct {
	Ticket       TicketID
	Position     int // number of the team's tickets ahead of it
	ExpectedWait time.Duration
}

// Refuse means that the request will not start.
type Refuse struct {
	Ticket     TicketID
	Reason     Reason
	RetryAfter time.Duration
}

func (Admit) decision()  {}
func (Queue) decision()  {}
func (Refuse) decision() {}

// Reason is the cause of a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonRateLimit Reason = "rate"     // the team exceeds its rate limit
	ReasonDeadline  Reason = "deadline" // it cannot meet its deadline
	ReasonQueueFull Reason = "full"     // the team's queue is full
	ReasonShed      Reason = "shed"     // evicted by a ticket that precedes it
)
