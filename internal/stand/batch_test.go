package stand_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

// TestBatchGivesEachJobItsTokens checks that every job gets exactly its tokens,
// that the batch never holds more than its slots, and that no job waits while
// one of lower priority that came later runs before it.
func TestBatchGivesEachJobItsTokens(t *testing.T) {
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
			spent, busy := b.BeginIteration()
			if !busy {
				break
			}
			if spent <= 0 || b.Running() > slots {
				t.Fatalf("iteration of %v with %d running of %d slots", spent, b.Running(), slots)
			}
			for _, j := range b.EndIteration() {
				want[j]--
				total++
			}
		}
		for _, j := range order {
			if want[j] != 0 {
				t.Fatalf("job %+v still wants %d tokens after %d in all", *j, want[j], total)
			}
		}
	})
}

// TestBatchServesUrgentJobsFirst has a full batch and a queue.
func TestBatchServesUrgentJobsFirst(t *testing.T) {
	b := stand.NewBatch(stand.DefaultTiming, 1)
	batch := &stand.Job{Priority: fleet.PriorityBatch, AnswerLeft: 1}
	urgent := &stand.Job{Priority: fleet.PriorityUrgent, AnswerLeft: 1}
	b.Add(batch)
	b.Add(urgent)
	b.BeginIteration()
	if first := b.EndIteration(); len(first) != 1 || first[0] != urgent {
		t.Fatalf("first token went to %+v, want the urgent job", first)
	}
}

// TestBatchSlowsDownAsItGrows compares a lone job with a batch of 32.
func TestBatchSlowsDownAsItGrows(t *testing.T) {
	iteration := func(jobs int) time.Duration {
		b := stand.NewBatch(stand.DefaultTiming, jobs)
		for range jobs {
			b.Add(&stand.Job{AnswerLeft: 1})
		}
		spent, _ := b.BeginIteration()
		return spent
	}
	if iteration(32) <= iteration(1) {
		t.Fatalf("batch of 32 takes %v, a lone job %v", iteration(32), iteration(1))
	}
}
