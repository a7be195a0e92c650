// Package logs makes the loggers of marigoldscale's processes: JSON lines on
// standard error.
package logs

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New makes a logger for the named level, such as info.
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
