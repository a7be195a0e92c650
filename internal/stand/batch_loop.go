package stand

import "time"

// runBatch runs the batch in real time until Close.
func (e *Engine) runBatch() {
	defer e.stopped.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	idle := true
	for {
		select {
		case <-e.stop:
			return
		case <-timer.C:
		case <-e.wake:
			if !idle {
				continue
			}
			due = time.Now()
		}
		wait, busy := e.iterate(due)
		idle = !busy
		if idle {
			continue
		}
		due = nextDue(due, wait, time.Now())
		timer.Reset(time.Until(due))
	}
}

// nextDue returns the end of the next iteration. Iterations stay evenly spaced when
// the timer fires late, but are not made up for after a stall of more than ten
// iterations.
func nextDue(due time.Time, wait time.Duration, now time.Time) time.Time {
	next := due.Add(wait)
	if now.Sub(next) > 10*wait {
		return now.Add(wait)
	}
	return next
}

// iterate ends the iteration that is due and begins the next. It returns the time
// that the next takes, or false if the batch is empty.
func (e *Engine) iterate(due time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range e.batch.EndIteration() {
		if s, ok := e.streams[j]; ok {
			s.tokens <- struct{}{}
		}
	}
	e.recordLoad(due)
	return e.batch.BeginIteration()
}
