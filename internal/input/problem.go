// Package input decodes hand-written TOML files and reports all their errors at
// once, each with its file, line and key.
package input

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // from 1; 0 for the whole file
	Key      string `json:"key"`
	Message  string `json:"what"`
	Accepted string `json:"accepted,omitempty"`
}

// Error formats the problem on one line, as
// file:line: key: message; accepted: accepted.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ": %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// Problems are the errors found in one or more files.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Sort sorts the problems by file, line, key and text, and removes duplicates. It
// reuses the slice.
func (p Problems) Sort() Problems {
	sort.Slice(p, func(i, j int) bool { return p[i].less(p[j]) })
	kept := p[:0]
	for i, problem := range p {
		if i == 0 || problem != p[i-1] {
			kept = append(kept, problem)
		}
	}
	return kept
}

func (p Problem) less(q Problem) bool {
	switch {
	case p.File != q.File:
		return p.File < q.File
	case p.Line != q.Line:
		return p.Line < q.Line
	case p.Key != q.Key:
		return p.Key < q.Key
	case p.Message != q.Message:
		return p.Message < q.Message
	}
	return p.Accepted < q.Accepted
}
