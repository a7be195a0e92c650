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

// Request is one change with the names that it goes under.
type Request struct {
	Change Change
	By     string           // the operator
	Nonce  string           // unique to this publication
	Expect ident.Generation // the generation that must be in force; 0 for any
}

// Machine decides the steps of one publication. It does no I/O.
type Machine struct {
	request Request
	texts   map[string][]byte // by digest
	written map[string]bool   // digests known to exist as parts
	began   *plat.Head        // the head when the publication began
	head    plat.Head         // the newest head read
	version plat.Version
	target  files
	changed []string
	unknown bool // an answer to a write of the head was lost
	tried   ident.Generation
	fails   int
	moves   int
	since   time.Time // of the first of the failures in a row; zero if there is none
}

const (
	maxFails  = 12              // failed calls of one publication
	maxMoves  = 200             // lost races of one publication
	patience  = 5 * time.Second // with a platform that does not answer
	pauseBase = 50 * time.Millisecond
	pauseMax  = 2 * time.Second
)

// New gives the machine of one publication.
func New(request Request) *Machine {
	return &Machine{request: request, texts: map[string][]byte{}, written: map[string]bool{}}
}

// Step takes an event in and gives what is to be done next.
func (m *Machine) Step(now time.Time, event Event) Action {
	switch e := event.(type) {
	case Begin:
		return ReadHead{}
	case HeadRead:
		return m.readHead(now, e)
	case PartsRead:
		return m.readParts(now, e)
	case PartsWritten:
		return m.writeHead(now)
	case HeadWritten:
		return m.finish(m.head.Generation + 1)
	case HeadMoved:
		return m.again()
	case HeadUnknown:
		m.unknown = true
		return m.retry(now, plat.ErrUncertain)
	case Failed:
		return m.retry(now, e.Err)
	}
	return Fail{Err: fmt.Errorf("event %T is not known", event)}
}

// retry starts again from the head, since whatever else is known may be old.
func (m *Machine) retry(now time.Time, err error) Action {
	m.fails++
	if m.since.IsZero() {
		m.since = now
	}
	if m.fails <= maxFails && now.Sub(m.since) < patience {
		return ReadHead{After: m.pause()}
	}
	if m.unknown {
		return Fail{Err: fmt.Errorf("the change may or may not be in force, run the command again: %w", err)}
	}
	return Fail{Err: fmt.Errorf("the change is not in force, the platform does not answer: %w", err)}
}

// again follows a lost race; whoever won it has made progress.
func (m *Machine) again() Action {
	m.moves++
	if m.moves > maxMoves {
		return Fail{Err: fmt.Errorf("the change is not in force, the head moved %d times meanwhile: %w", maxMoves, plat.ErrConflict)}
	}
	return ReadHead{After: m.spread()}
}

// pause doubles with each failure.
func (m *Machine) pause() time.Duration {
	return min(pauseBase<<min(m.fails, 6), pauseMax) + m.spread()
}

// spread sets racing operators apart by their nonces.
func (m *Machine) spread() time.Duration {
	return time.Duration(xxhash.Sum64String(m.request.Nonce) % uint64(pauseBase))
}

func (m *Machine) readHead(now time.Time, e HeadRead) Action {
	m.since = time.Time{}
	if e.Version != 0 && e.Head.Nonce == m.request.Nonce {
		m.head = e.Head
		return m.finish(e.Head.Generation)
	}
	if e.Head.Generation == m.tried+1 {
		m.unknown = false // the one change since the lost answer is another's
	}
	m.head = e.Head
	m.version = e.Version
	if m.began == nil {
		began := e.Head
		m.began = &began
	}
	if missing := m.missing(); len(missing) > 0 {
		return ReadParts{Digests: missing}
	}
	return m.plan(now)
}

// missing gives the digests whose texts the check of the whole needs.
func (m *Machine) missing() []string {
	var digests []string
	for _, f := range m.head.Files {
		m.written[f.Digest] = true
		if _, known := m.texts[f.Digest]; !known {
			digests = append(digests, f.Digest)
		}
	}
	sort.Strings(digests)
	return digests
}

func (m *Machine) readParts(now time.Time, e PartsRead) Action {
	for digest, text := range e.Texts {
		if config.TextDigest(text) != digest {
			return Fail{Err: fmt.Errorf("part %s on the platform does not have its digest", digest)}
		}
		m.texts[digest] = text
	}
	if len(m.missing()) > 0 {
		return m.retry(now, plat.ErrNotFound)
	}
	return m.plan(now)
}

// plan makes the target of the newest head and asks for its parts.
func (m *Machine) plan(now time.Time) Action {
	if m.request.Expect != 0 && m.request.Expect != m.began.Generation {
		return Fail{Err: &Moved{Expected: m.request.Expect, Found: m.began.Generation, By: m.began.By, At: m.began.At}}
	}
	target, err := m.aim()
	if err != nil {
		return Fail{Err: err}
	}
	head := filesOf(m.head)
	m.target = target
	changed := target.changedFrom(head)
	if len(changed) == 0 {
		return m.finish(m.head.Generation)
	}
	if m.superseded() {
		return Fail{Err: m.conflict(nil)}
	}
	m.changed = changed
	if problems := m.check(target); len(problems) > 0 {
		return Fail{Err: &Refused{Problems: problems}}
	}
	if parts := m.unwritten(); len(parts) > 0 {
		return WriteParts{Files: parts}
	}
	return m.writeHead(now)
}

// superseded tells whether a write whose answer was lost may have taken effect
// and been followed by another. One later generation alone is the other's.
func (m *Machine) superseded() bool {
	return m.unknown && m.head.Generation > m.tried+1
}

func (m *Machine) check(target files) config.Problems {
	c, problems := config.Load(m.texted(target))
	if edit, ok := m.request.Change.(Edit); ok && c != nil {
		problems = append(problems, config.Undeclared(c, edit.Settings)...)
	}
	for _, f := range target.list() {
		if size := len(m.texts[f.Digest]); size > plat.MaxValueBytes {
			what := fmt.Sprintf("file has %d bytes, more than the platform holds", size)
			problems = append(problems, config.Problem{File: f.Path, Message: what, Accepted: fmt.Sprintf("at most %d bytes", plat.MaxValueBytes)})
		}
	}
	return problems
}

// unwritten gives the files of the target that are not known to be parts.
func (m *Machine) unwritten() []config.File {
	var parts []config.File
	for _, f := range m.texted(m.target) {
		if !m.written[config.TextDigest(f.Text)] {
			parts = append(parts, f)
		}
	}
	return parts
}

func (m *Machine) writeHead(now time.Time) Action {
	for _, digest := range m.target {
		m.written[digest] = true
	}
	head := plat.Head{
		Generation: m.head.Generation + 1,
		Digest:     m.target.digest(),
		Files:      m.target.list(),
		Nonce:      m.request.Nonce,
		By:         m.request.By,
		At:         now,
	}
	if size := headSize(head); size > plat.MaxValueBytes {
		return Fail{Err: fmt.Errorf("head of %d files has %d bytes, more than the platform's %d; join files", len(head.Files), size, plat.MaxValueBytes)}
	}
	m.tried = m.head.Generation
	return WriteHead{Head: head, Expect: m.version}
}

func (m *Machine) finish(generation ident.Generation) Action {
	result := Result{Generation: generation, Changed: append([]string{}, m.changed...), Kept: m.kept()}
	if m.target != nil {
		result.Digest = m.target.digest()
	} else {
		result.Digest = m.head.Digest
	}
	return Finish{Result: result}
}

// kept gives the paths in force that a tree lacks, but for the commands' own.
func (m *Machine) kept() []string {
	kept := []string{}
	tree, ok := m.request.Change.(Tree)
	if !ok {
		return kept
	}
	mine := map[string]bool{}
	for _, f := range tree.Files {
		mine[f.Path] = true
	}
	for _, f := range m.target.list() {
		if !mine[f.Path] && strings.HasPrefix(f.Path, tree.Under) && !strings.HasPrefix(f.Path, config.OverlayPrefix) {
			kept = append(kept, f.Path)
		}
	}
	return kept
}

// texted gives files with their texts, sorted by path.
func (m *Machine) texted(all files) []config.File {
	out := make([]config.File, 0, len(all))
	for _, f := range all.list() {
		out = append(out, config.File{Path: f.Path, Text: m.texts[f.Digest]})
	}
	return out
}

func (m *Machine) conflict(clashes []string) error {
	return &Conflict{
		Mine:      m.mine(),
		Clashes:   clashes,
		By:        m.head.By,
		At:        m.head.At,
		Began:     m.began.Generation,
		Found:     m.head.Generation,
		Uncertain: m.superseded(),
	}
}

func headSize(head plat.Head) int {
	text, err := json.Marshal(head)
	if err != nil {
		return 0 // a head has no field that can't be written
	}
	return len(text)
}
