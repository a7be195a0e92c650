package stand

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Timing is the computing speed of an engine.
type Timing struct {
	Iteration    time.Duration // time of an iteration, without that of its requests
	PerRequest   time.Duration // time added by each request in the batch
	PrefillRate  float64       // prompt tokens per second
	PrefillChunk int           // prompt tokens per iteration, of all requests together
}

// DefaultTiming has 9 ms between the tokens of a single request, and 40 ms in a
// batch of 32.
var DefaultTiming = Timing{
	Iteration:    8 * time.Millisecond,
	PerRequest:   time.Millisecond,
	PrefillRate:  20_000,
	PrefillChunk: 256,
}

// Job is a request in a batch.
type Job struct {
	Priority   fleet.Priority
	PromptLeft int     // prompt tokens still to be computed
	AnswerLeft int     // answer tokens still to be generated
	Slowdown   float64 // factor on the time per token, at least 1

	arrival  int     // sequence number of its arrival
	progress float64 // towards the next step, which it takes at 1
}

// Batch is the scheduler of an engine with continuous batching. It does no I/O and
// has no clock: the caller waits for the time that BeginIteration returns.
type Batch struct {
	timing     Timing
	slots      int
	arrivals   int
	waiting    []*Job
	running    []*Job
	generating []*Job // requests that generate a token in the current iteration
}

// NewBatch returns an empty batch of at most slots requests.
func NewBatch(timing Timing, slots int) *Batch {
	return &Batch{timing: timing, slots: slots}
}

// Add queues a request, ordered by priority and then by arrival.
func (b *Batch) Add(job *Job) {
	b.arrivals++
	job.arrival = b.arrivals
	if job.Slowdown < 1 {
		job.Slowdown = 1
	}
	b.waiting = append(b.waiting, job)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		if b.waiting[i].Priority != b.waiting[j].Priority {
			return b.waiting[i].Priority > b.waiting[j].Priority
		}
		return b.waiting[i].arrival < b.waiting[j].arrival
	})
}

// Remove removes a waiting or running request.
func (b *Batch) Remove(job *Job) {
	b.waiting = removeJob(b.waiting, job)
	b.running = removeJob(b.running, job)
	b.generating = removeJob(b.generating, job)
}

// Running returns the number of requests in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of queued requests.
func (b *Batch) Waiting() int { return len(b.waiting) }

// InFlight returns the number of running and waiting requests.
func (b *Batch) InFlight() int { return len(b.running) + len(b.waiting) }

// TokenRate returns the current rate of generated tokens, per second.
func (b *Batch) TokenRate() float64 {
	n := len(b.running)
	if n == 0 {
		return 0
	}
	return float64(n) / b.iterationTime(n).Seconds()
}

// BeginIteration moves waiting requests to free slots and starts an iteration. It
// returns the time that the iteration takes, or false if the batch is empty.
func (b *Batch) BeginIteration() (time.Duration, bool) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	if len(b.running) == 0 {
		return 0, false
	}
	b.generating = b.generating[:0]
	left := b.timing.PrefillChunk
	for _, j := range b.running {
		j.progress += 1 / j.Slowdown
		if j.progress < 1 {
			continue
		}
		j.progress--
		if j.PromptLeft > 0 {
			taken := min(left, j.PromptLeft)
			j.PromptLeft -= taken
			left -= taken
		}
		if j.PromptLeft == 0 {
			b.generating = append(b.generating, j)
		}
	}
	prefill := time.Duration(float64(b.timing.PrefillChunk-left) / b.timing.PrefillRate * float64(time.Second))
	return b.iterationTime(len(b.running)) + prefill, true
}

// EndIteration ends the iteration and returns the requests that generated a token.
// It removes those that are complete from the batch.
func (b *Batch) EndIteration() []*Job {
	generated := append([]*Job(nil), b.generating...)
	b.generating = b.generating[:0]
	for _, j := range generated {
		j.AnswerLeft--
		if j.AnswerLeft <= 0 {
			b.running = removeJob(b.running, j)
		}
	}
	return generated
}

func (b *Batch) iterationTime(running int) time.Duration {
	return b.timing.Iteration + time.Duration(running)*b.timing.PerRequest
}

func removeJob(jobs []*Job, job *Job) []*Job {
	for i, j := range jobs {
		if j == job {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
