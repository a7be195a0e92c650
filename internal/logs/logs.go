// Package logs creates the loggers of marigoldscale's processes, which write JSON
// lines, and analyzes the logs that they have written.
package logs

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger for the named level, such as info. It writes to standard
// error.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("reading log level: %w", err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableStacktrace = true
	config.Sampling = nil
	log, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("building logger: %w", err)
	}
	return log, nil
}
