package flow

// Sink takes a caller's answer piece by piece. An error means that the caller
// is gone.
type Sink interface {
	// Open comes once, before the first piece.
	Open(m Meta) error
	// Text takes the next piece.
	Text(text string) error
}
