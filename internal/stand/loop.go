package stand

import "time"

// loop runs the batch in real time until Close.
func (e *Engine) loop() {
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

// nextDue keeps iterations evenly spaced when the timer fires a little late,
// and starts anew when the machine has stalled.
func nextDue(due time.Time, wait time.Duration, now time.Time) time.Time {
	next := due.Add(wait)
	if now.Sub(next) > 10*wait {
		return now.Add(wait)
	}
	return next
}

// iterate ends the iteration that was due and begins the next.
func (e *Engine) iterate(due time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range e.batch.EndIteration() {
		if s, ok := e.streams[j]; ok {
			s.tokens <- struct{}{}
		}
	}
	e.sample(due)
	return e.batch.BeginIteration()
}
