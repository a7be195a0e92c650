// Package input reads TOML files that people write, and reports everything
// that is wrong with them at once, each with its file, line and key.
package input

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a file.
type Problem struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // from 1; 0 if the whole file is meant
	Key      string `json:"key"`
	What     string `json:"what"`
	Accepted string `json:"accepted,omitempty"`
}

// Error gives the problem on one line, in the form file:line: key: what.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ": %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.What)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// Problems are all the faults found, sorted by file and line.
type Problems []Problem

// Error gives one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err gives the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Sort orders the problems by file, line, key and text, and drops doubles.
func (p Problems) Sort() Problems {
	sort.Slice(p, func(i, j int) bool { return p[i].before(p[j]) })
	kept := p[:0]
	for i, problem := range p {
		if i == 0 || problem != p[i-1] {
			kept = append(kept, problem)
		}
	}
	return kept
}

func (p Problem) before(q Problem) bool {
	switch {
	case p.File != q.File:
		return p.File < q.File
	case p.Line != q.Line:
		return p.Line < q.Line
	case p.Key != q.Key:
		return p.Key < q.Key
	case p.What != q.What:
		return p.What < q.What
	}
	return p.Accepted < q.Accepted
}
