package setup

import "github.com/marigoldscale/marigoldscale/internal/input"

// Keys describes the section's keys, for the page of keys.
func (s SectionOf[T]) Keys() []input.Key {
	return input.Keys(s.Fields)
}
