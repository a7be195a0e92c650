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
	// queueLines is how many lines wait for a slow reader before lines are lost.
	queueLines = 2048
	// flushLines is how many waiting lines are written together.
	flushLines = 64
	// infoPerSecond and warnPerSecond bound the lines of one kind in a second:
	// refusals and failures are kept before successes.
	infoPerSecond = 200
	warnPerSecond = 400
)

// Lost counts lines that were not written.
type Lost struct {
	Limited atomic.Int64 // over the limit of their kind
	Blocked atomic.Int64 // the reader was too slow
}

// NewBounded makes a logger of JSON lines that never blocks its callers and
// bounds the lines of each kind. The stop function writes what waits, for as
// long as the reader takes it but not longer than patience.
func NewBounded(level string, w io.Writer) (log *zap.Logger, lost *Lost, stop func(patience time.Duration), err error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("reading log level: %w", err)
	}
	lost = &Lost{}
	queue := newQueue(w, lost)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	encoder := zapcore.NewJSONEncoder(config)
	limited := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			lost.Limited.Add(1)
		}
	})
	low := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l < zapcore.WarnLevel })
	high := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, queue, low), time.Second, infoPerSecond, 0, limited),
		zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, queue, high), time.Second, warnPerSecond, 0, limited),
	)
	return zap.New(core), lost, queue.stop, nil
}

// queue hands lines to a goroutine that writes them.
type queue struct {
	lines chan []byte
	done  chan struct{}
	lost  *Lost
}

func newQueue(w io.Writer, lost *Lost) *queue {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{}), lost: lost}
	go q.run(w)
	return q
}

// Write takes a line without waiting; it is lost if too many wait.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Blocked.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the reader takes them.
func (q *queue) Sync() error { return nil }

func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		for n := 1; n < flushLines && len(q.lines) > 0; n++ {
			next, ok := <-q.lines
			if !ok {
				break
			}
			line = append(line, next...)
		}
		if _, err := w.Write(line); err != nil {
			q.lost.Blocked.Add(1) // there is nowhere else to tell of it
		}
	}
}

func (q *queue) stop(patience time.Duration) {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(patience):
	}
}
