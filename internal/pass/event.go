package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is what happens to a request: Begin, Placed, Unplaced, Headed, Piece,
// Ended, Answered, Broken, Left or Woken.
type Event interface{ event() }

// Begin starts the course.
type Begin struct{}

// Placed names the endpoint for an attempt.
type Placed struct {
	Attempt  Attempt
	Endpoint *world.Endpoint
	Expected time.Duration // to the answer or first event
	Base     time.Duration // the same without correction by experience
	Work     time.Duration // of Base, the endpoint's own work on the request
	Uncached ident.Tokens  // of the prompt, expected
}

// Unplaced says that no endpoint may get the attempt now.
type Unplaced struct {
	Attempt Attempt
	After   time.Duration // when one is expected to
	Late    bool          // there are endpoints, but none can answer in time
}

// Headed brings the head of an event stream.
type Headed struct {
	Attempt Attempt
	Head    Head
	Next    time.Duration // foreseen to the first event of the next model, if there is one
	Work    time.Duration // of Next, that model's own work
	Writing time.Duration // foreseen from its first event to its last
}

// Piece brings one whole event of a stream, with its id.
type Piece struct {
	Attempt Attempt
	ID      int64 // NoEvent if it has none
	Data    []byte
}

// Ended says that a stream came to its proper end.
type Ended struct{ Attempt Attempt }

// Answered brings a whole answer that is no stream.
type Answered struct {
	Attempt Attempt
	Head    Head
}

// Broken says that an attempt failed without a whole answer.
type Broken struct {
	Attempt Attempt
	Sent    bool // a part of the request may have reached the endpoint
	Refused bool // the endpoint accepts no connection
}

// Left says that the caller is gone.
type Left struct{}

// Woken answers Wake.
type Woken struct{}

func (Begin) event()    {}
func (Placed) event()   {}
func (Unplaced) event() {}
func (Headed) event()   {}
func (Piece) event()    {}
func (Ended) event()    {}
func (Answered) event() {}
func (Broken) event()   {}
func (Left) event()     {}
func (Woken) event()    {}
