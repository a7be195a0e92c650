package stand

import (
	"fmt"
	"time"
)

// Delay is a duration that is encoded as text, such as "150ms".
type Delay time.Duration

// MarshalText encodes the delay in the format of time.Duration.
func (d Delay) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the format of MarshalText; "" is no delay.
func (d *Delay) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("reading delay: %w", err)
	}
	*d = Delay(parsed)
	return nil
}
