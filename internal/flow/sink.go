package flow

// Sink receives the text of an answer incrementally. Its methods return an error
// if the caller has disconnected.
type Sink interface {
	// Open is called once, before the first Text.
	Open(m Meta) error
	// Text writes the next chunk.
	Text(text string) error
}
