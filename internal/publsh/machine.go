package publsh

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Request describes one publication.
type Request struct {
	Change   Change
	Operator string
	Nonce    string           // unique to this publication
	Expect   ident.Generation // required current generation; 0 for any
}

// Machine is the state machine of one publication. It does no I/O.
type Machine struct {
	request        Request
	texts          map[string][]byte // by digest
	stored         map[string]bool   // digests of parts known to exist on the platform
	base           *plat.Head        // head on which the change is based; nil until it is read
	head           plat.Head         // newest head read
	version        plat.Version      // of head
	target         fileSet
	changed        []string
	writeUncertain bool             // a write of the head may have taken effect
	writeBase      ident.Generation // generation replaced by the last write of the head
	failures       int
	conflicts      int
	failingSince   time.Time // time of the first failure since the head was last read; zero if none
}

const (
	maxFailures        = 12              // failed calls per publication
	maxConflicts       = 200             // conflicting writes of the head per publication
	unavailableTimeout = 5 * time.Second // after the first of consecutive failures
	backoffBase        = 50 * time.Millisecond
	backoffMax         = 2 * time.Second
)

// NewMachine returns the state machine of one publication.
func NewMachine(request Request) *Machine {
	return &Machine{request: request, texts: map[string][]byte{}, stored: map[string]bool{}}
}

// Step applies an event and returns the next action.
func (m *Machine) Step(now time.Time, event Event) Action {
	switch e := event.(type) {
	case Start:
		return ReadHead{}
	case HeadRead:
		return m.handleHead(now, e)
	case PartsRead:
		return m.handleParts(now, e)
	case PartsWritten:
		return m.writeHead(now)
	case HeadWritten:
		return m.finish(m.head.Generation + 1)
	case HeadConflict:
		return m.retryConflict()
	case HeadWriteUncertain:
		m.writeUncertain = true
		return m.retry(now, plat.ErrUncertain)
	case CallFailed:
		return m.retry(now, e.Err)
	}
	return Fail{Err: fmt.Errorf("unknown event type %T", event)}
}

// retry reads the head again after a failed call, since the cached state may be
// outdated.
func (m *Machine) retry(now time.Time, err error) Action {
	m.failures++
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	if m.failures <= maxFailures && now.Sub(m.failingSince) < unavailableTimeout {
		return ReadHead{Delay: m.backoff()}
	}
	if m.writeUncertain {
		return Fail{Err: fmt.Errorf("the change may or may not be in force, run the command again: %w", err)}
	}
	return Fail{Err: fmt.Errorf("the change is not in force, the platform does not answer: %w", err)}
}

// retryConflict reads the head again after a conflicting write. A conflict means
// that another publication succeeded, so many more conflicts than failures are
// tolerated.
func (m *Machine) retryConflict() Action {
	m.conflicts++
	if m.conflicts > maxConflicts {
		return Fail{Err: fmt.Errorf("the change is not in force, the head was changed concurrently %d times: %w", maxConflicts, plat.ErrConflict)}
	}
	return ReadHead{Delay: m.jitter()}
}

// backoff returns a delay that doubles with each failure.
func (m *Machine) backoff() time.Duration {
	return min(backoffBase<<min(m.failures, 6), backoffMax) + m.jitter()
}

// jitter returns a delay derived from the nonce, so that concurrent publications
// retry at different times.
func (m *Machine) jitter() time.Duration {
	return time.Duration(xxhash.Sum64String(m.request.Nonce) % uint64(backoffBase))
}

func (m *Machine) handleHead(now time.Time, e HeadRead) Action {
	m.failingSince = time.Time{}
	if e.Version != 0 && e.Head.Nonce == m.request.Nonce {
		m.head = e.Head
		return m.finish(e.Head.Generation)
	}
	if e.Head.Generation == m.writeBase+1 {
		m.writeUncertain = false // the only later generation belongs to another publication
	}
	m.head = e.Head
	m.version = e.Version
	if m.base == nil {
		base := e.Head
		m.base = &base
	}
	if missing := m.missingDigests(); len(missing) > 0 {
		return ReadParts{Digests: missing}
	}
	return m.plan(now)
}

// missingDigests returns the digests in the head whose contents have not been
// read. Validation needs the contents of all files.
func (m *Machine) missingDigests() []string {
	var digests []string
	for _, f := range m.head.Files {
		m.stored[f.Digest] = true
		if _, known := m.texts[f.Digest]; !known {
			digests = append(digests, f.Digest)
		}
	}
	sort.Strings(digests)
	return digests
}

func (m *Machine) handleParts(now time.Time, e PartsRead) Action {
	for digest, text := range e.Texts {
		if config.TextDigest(text) != digest {
			return Fail{Err: fmt.Errorf("content of part %s on the platform does not match its digest", digest)}
		}
		m.texts[digest] = text
	}
	if len(m.missingDigests()) > 0 {
		return m.retry(now, plat.ErrNotFound)
	}
	return m.plan(now)
}

// plan builds the target from the newest head and returns the action that stores
// it.
func (m *Machine) plan(now time.Time) Action {
	if m.request.Expect != 0 && m.request.Expect != m.base.Generation {
		return Fail{Err: &GenerationError{Expected: m.request.Expect, Current: m.base.Generation, By: m.base.By, At: m.base.At}}
	}
	target, err := m.buildTarget()
	if err != nil {
		return Fail{Err: err}
	}
	head := newFileSet(m.head)
	m.target = target
	changed := target.diff(head)
	if len(changed) == 0 {
		return m.finish(m.head.Generation)
	}
	if m.superseded() {
		return Fail{Err: m.conflictError(nil)}
	}
	m.changed = changed
	if problems := m.validate(target); len(problems) > 0 {
		return Fail{Err: &InvalidError{Problems: problems}}
	}
	if parts := m.missingParts(); len(parts) > 0 {
		return WriteParts{Files: parts}
	}
	return m.writeHead(now)
}

// superseded reports whether an uncertain write may have taken effect and then
// been replaced. This takes at least two later generations: a single one without
// the nonce of this publication was written by another operator.
func (m *Machine) superseded() bool {
	return m.writeUncertain && m.head.Generation > m.writeBase+1
}

func (m *Machine) validate(target fileSet) config.Problems {
	c, problems := config.Load(m.withTexts(target))
	if edit, ok := m.request.Change.(Edit); ok && c != nil {
		problems = append(problems, config.UndeclaredReleases(c, edit.Settings)...)
	}
	for _, f := range target.sorted() {
		if size := len(m.texts[f.Digest]); size > plat.MaxValueBytes {
			message := fmt.Sprintf("file has %d bytes, more than the platform holds", size)
			problems = append(problems, config.Problem{File: f.Path, Message: message, Accepted: fmt.Sprintf("at most %d bytes", plat.MaxValueBytes)})
		}
	}
	return problems
}

// missingParts returns the files of the target that are not known to be stored as
// parts.
func (m *Machine) missingParts() []config.File {
	var parts []config.File
	for _, f := range m.withTexts(m.target) {
		if !m.stored[config.TextDigest(f.Text)] {
			parts = append(parts, f)
		}
	}
	return parts
}

func (m *Machine) writeHead(now time.Time) Action {
	for _, digest := range m.target {
		m.stored[digest] = true
	}
	head := plat.Head{
		Generation: m.head.Generation + 1,
		Digest:     m.target.digest(),
		Files:      m.target.sorted(),
		Nonce:      m.request.Nonce,
		By:         m.request.Operator,
		At:         now,
	}
	if size := headSize(head); size > plat.MaxValueBytes {
		return Fail{Err: fmt.Errorf("head of %d files has %d bytes, more than the platform's limit of %d; merge some files", len(head.Files), size, plat.MaxValueBytes)}
	}
	m.writeBase = m.head.Generation
	return WriteHead{Head: head, Expect: m.version}
}

func (m *Machine) finish(generation ident.Generation) Action {
	result := Result{Generation: generation, Changed: append([]string{}, m.changed...), Kept: m.unlistedPaths()}
	if m.target != nil {
		result.Digest = m.target.digest()
	} else {
		result.Digest = m.head.Digest
	}
	return Finish{Result: result}
}

// unlistedPaths returns the published paths under the tree's prefix that are not
// in the tree, except the overlay.
func (m *Machine) unlistedPaths() []string {
	unlisted := []string{}
	tree, ok := m.request.Change.(Tree)
	if !ok {
		return unlisted
	}
	inTree := map[string]bool{}
	for _, f := range tree.Files {
		inTree[f.Path] = true
	}
	for _, f := range m.target.sorted() {
		if !inTree[f.Path] && strings.HasPrefix(f.Path, tree.Prefix) && !strings.HasPrefix(f.Path, config.OverlayPrefix) {
			unlisted = append(unlisted, f.Path)
		}
	}
	return unlisted
}

// withTexts returns the files with their contents, sorted by path.
func (m *Machine) withTexts(all fileSet) []config.File {
	out := make([]config.File, 0, len(all))
	for _, f := range all.sorted() {
		out = append(out, config.File{Path: f.Path, Text: m.texts[f.Digest]})
	}
	return out
}

func (m *Machine) conflictError(conflicting []string) error {
	return &ConflictError{
		Requested:      m.requestedKeys(),
		Conflicting:    conflicting,
		By:             m.head.By,
		At:             m.head.At,
		BaseGeneration: m.base.Generation,
		Generation:     m.head.Generation,
		Uncertain:      m.superseded(),
	}
}

func headSize(head plat.Head) int {
	text, err := json.Marshal(head)
	if err != nil {
		return 0 // all fields of a head can be marshalled
	}
	return len(text)
}
