package stand_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

// TestBatchGeneratesAllTokens checks that every job gets exactly its tokens and that
// the batch never runs more jobs than it has slots.
func TestBatchGeneratesAllTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		b := stand.NewBatch(stand.DefaultTiming, slots)
		want := map[*stand.Job]int{}
		var order []*stand.Job
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := &stand.Job{
				Priority:   fleet.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				PromptLeft: rapid.IntRange(0, 600).Draw(t, "prefill"),
				AnswerLeft: rapid.IntRange(1, 5).Draw(t, "answer"),
				Slowdown:   rapid.Float64Range(0, 3).Draw(t, "slowness"),
			}
			want[j] = j.AnswerLeft
			b.Add(j)
			order = append(order, j)
		}
		total := 0
		for range 10_000 {
			duration, busy := b.BeginIteration()
			if !busy {
				break
			}
			if duration <= 0 || b.Running() > slots {
				t.Fatalf("iteration of %v with %d running jobs in %d slots", duration, b.Running(), slots)
			}
			for _, j := range b.EndIteration() {
				want[j]--
				total++
			}
		}
		for _, j := range order {
			if want[j] != 0 {
				t.Fatalf("job %+v is missing %d tokens after %d tokens of all jobs", *j, want[j], total)
			}
		}
	})
}

// TestBatchOrdersByPriority checks that a waiting urgent job runs before a batch job
// that arrived earlier.
func TestBatchOrdersByPriority(t *testing.T) {
	b := stand.NewBatch(stand.DefaultTiming, 1)
	batch := &stand.Job{Priority: fleet.PriorityBatch, AnswerLeft: 1}
	urgent := &stand.Job{Priority: fleet.PriorityUrgent, AnswerLeft: 1}
	b.Add(batch)
	b.Add(urgent)
	b.BeginIteration()
	if first := b.EndIteration(); len(first) != 1 || first[0] != urgent {
		t.Fatalf("first token generated for %+v, want the urgent job", first)
	}
}

// TestBatchIterationTimeGrows compares the iteration time of 1 and of 32 jobs.
func TestBatchIterationTimeGrows(t *testing.T) {
	iteration := func(jobs int) time.Duration {
		b := stand.NewBatch(stand.DefaultTiming, jobs)
		for range jobs {
			b.Add(&stand.Job{AnswerLeft: 1})
		}
		duration, _ := b.BeginIteration()
		return duration
	}
	if iteration(32) <= iteration(1) {
		t.Fatalf("iteration of 32 jobs takes %v, of one job %v", iteration(32), iteration(1))
	}
}
