package setup

import "github.com/marigoldscale/marigoldscale/internal/input"

// Keys returns the descriptions of the section's keys, from which the
// configuration reference is checked.
func (s SectionOf[T]) Keys() []input.Key {
	return input.DescribeKeys(s.Fields)
}
