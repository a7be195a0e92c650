package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines queued for a slow reader before lines
	// are dropped.
	queueCapacity = 2048
	// maxBatchLines bounds the number of queued lines written in one call.
	maxBatchLines = 64
	// infoLinesPerSecond and warnLinesPerSecond limit the lines with the same
	// message per second. Warnings have a higher limit, so that refusals and
	// failures are kept in preference to successes.
	infoLinesPerSecond = 200
	warnLinesPerSecond = 400
)

// Dropped counts log lines that were not written.
type Dropped struct {
	RateLimited atomic.Int64 // over the rate limit of their message
	QueueFull   atomic.Int64 // queue full, as the reader was too slow, or failed write
}

// NewBounded returns a logger of JSON lines that never blocks its callers and
// limits the rate of lines with the same message. The stop function flushes the
// queue, for at most timeout.
func NewBounded(level string, w io.Writer) (log *zap.Logger, dropped *Dropped, stop func(timeout time.Duration), err error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("reading log level: %w", err)
	}
	dropped = &Dropped{}
	queue := newQueue(w, dropped)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	encoder := zapcore.NewJSONEncoder(config)
	limited := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			dropped.RateLimited.Add(1)
		}
	})
	low := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l < zapcore.WarnLevel })
	high := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, queue, low), time.Second, infoLinesPerSecond, 0, limited),
		zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, queue, high), time.Second, warnLinesPerSecond, 0, limited),
	)
	return zap.New(core), dropped, queue.stop, nil
}

// queue passes lines to a goroutine that writes them.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped *Dropped
}

func newQueue(w io.Writer, dropped *Dropped) *queue {
	q := &queue{lines: make(chan []byte, queueCapacity), done: make(chan struct{}), dropped: dropped}
	go q.run(w)
	return q
}

// Write queues a line without blocking, or drops it if the queue is full.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.QueueFull.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the reader accepts them.
func (q *queue) Sync() error { return nil }

func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		for n := 1; n < maxBatchLines && len(q.lines) > 0; n++ {
			next, ok := <-q.lines
			if !ok {
				break
			}
			line = append(line, next...)
		}
		if _, err := w.Write(line); err != nil {
			q.dropped.QueueFull.Add(1) // the error cannot be logged
		}
	}
}

func (q *queue) stop(timeout time.Duration) {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
