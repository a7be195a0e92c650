package stand

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Pace is how fast an engine computes.
type Timing struct {
	Iteration    time.Duration // of one iteration of the batch
	PerRequest   time.Duration // added for each request in the batch
	PrefillRate  float64       // prompt tokens a second
	PrefillChunk int           // prompt tokens in one iteration, over the batch
}

// DefaultPace gives 9 ms between the tokens of a lone request, and 40 ms in a
// batch of 32.
var DefaultTiming = Timing{
	Iteration:    8 * time.Millisecond,
	PerRequest:   time.Millisecond,
	PrefillRate:  20_000,
	PrefillChunk: 256,
}

// Job is one request in a batch.
type Job struct {
	Priority   fleet.Priority
	PromptLeft int     // prompt tokens still to be computed
	AnswerLeft int     // answer tokens still to be generated
	Slowdown   float64 // factor on the time of each step, 1 for none

	order    int // of arrival
	progress float64
}

// Batch is the schedule of a continuously batching engine. It does no I/O and
// reads no clock: the caller lets the time pass that Begin says.
type Batch struct {
	pace    Timing
	slots   int
	arrived int
	waiting []*Job
	running []*Job
	step    []*Job // that generate a token in the iteration under way
}

// NewBatch gives an empty batch of at most that many requests.
func NewBatch(pace Timing, slots int) *Batch {
	return &Batch{pace: pace, slots: slots}
}

// Add queues a request.
func (b *Batch) Add(job *Job) {
	b.arrived++
	job.order = b.arrived
	if job.Slowdown < 1 {
		job.Slowdown = 1
	}
	b.waiting = append(b.waiting, job)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		if b.waiting[i].Priority != b.waiting[j].Priority {
			return b.waiting[i].Priority > b.waiting[j].Priority
		}
		return b.waiting[i].order < b.waiting[j].order
	})
}

// Remove drops a request wherever it stands.
func (b *Batch) Remove(job *Job) {
	b.waiting = without(b.waiting, job)
	b.running = without(b.running, job)
	b.step = without(b.step, job)
}

// Running gives the number of requests in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting gives the number of queued requests.
func (b *Batch) Waiting() int { return len(b.waiting) }

// InFlight gives the number of all requests.
func (b *Batch) InFlight() int { return len(b.running) + len(b.waiting) }

// Rate gives the tokens a second that the batch now generates.
func (b *Batch) TokenRate() float64 {
	n := len(b.running)
	if n == 0 {
		return 0
	}
	return float64(n) / b.iteration(n).Seconds()
}

// Begin takes in waiting requests and starts an iteration. It gives the time
// that the iteration takes, or false when there is nothing to do.
func (b *Batch) BeginIteration() (time.Duration, bool) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	if len(b.running) == 0 {
		return 0, false
	}
	b.step = b.step[:0]
	chunk := b.pace.PrefillChunk
	for _, j := range b.running {
		j.progress += 1 / j.Slowdown
		if j.progress < 1 {
			continue
		}
		j.progress--
		if j.PromptLeft > 0 {
			taken := min(chunk, j.PromptLeft)
			j.PromptLeft -= taken
			chunk -= taken
		}
		if j.PromptLeft == 0 {
			b.step = append(b.step, j)
		}
	}
	computed := time.Duration(float64(b.pace.PrefillChunk-chunk) / b.pace.PrefillRate * float64(time.Second))
	return b.iteration(len(b.running)) + computed, true
}

// End finishes the iteration. It gives the requests that generated a token;
// those with nothing left have gone out of the batch.
func (b *Batch) EndIteration() []*Job {
	generated := append([]*Job(nil), b.step...)
	b.step = b.step[:0]
	for _, j := range generated {
		j.AnswerLeft--
		if j.AnswerLeft <= 0 {
			b.running = without(b.running, j)
		}
	}
	return generated
}

func (b *Batch) iteration(running int) time.Duration {
	return b.pace.Iteration + time.Duration(running)*b.pace.PerRequest
}

func without(jobs []*Job, job *Job) []*Job {
	for i, j := range jobs {
		if j == job {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
