package publsh

import (
	"fmt"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Refused means that the whole configuration would not be sound. Nothing was
// put in force.
type InvalidError struct {
	Problems config.Problems
}

// Error gives one problem a line.
func (r *InvalidError) Error() string {
	return fmt.Sprintf("configuration is refused, %d problems:\n%s", len(r.Problems), r.Problems.Error())
}

// Conflict means that someone else changed the same things since this change
// began.
type ConflictError struct {
	Requested      []string // paths or keys that this change wants to change
	Conflicting   []string // those of Mine that the other changed to something else
	By        string   // who put Generation in force
	At        time.Time
	BaseGeneration     ident.Generation // in force when this change began
	Generation     ident.Generation // in force now
	Uncertain bool             // this change may have been in force for a while
}

// Error names both changes and what to do next.
func (c *ConflictError) Error() string {
	if c.Uncertain {
		return fmt.Sprintf("generation %d of %s replaced generation %d while the answer to this change of %s was lost; "+
			"it may have been in force in between: look at the files in force and publish again",
			c.Generation, c.By, c.BaseGeneration, strings.Join(c.Requested, ", "))
	}
	return fmt.Sprintf("this change of %s conflicts with generation %d by %s at %s, which changed %s since generation %d; "+
		"take that change in and publish again",
		strings.Join(c.Requested, ", "), c.Generation, c.By, c.At.UTC().Format(time.RFC3339), strings.Join(c.Conflicting, ", "), c.BaseGeneration)
}

// Moved means that another generation is in force than the one expected.
type GenerationError struct {
	Expected ident.Generation
	Current    ident.Generation
	By       string
	At       time.Time
}

// Error says which generation is in force, and whose it is.
func (m *GenerationError) Error() string {
	return fmt.Sprintf("generation %d by %s at %s is in force, not the expected %d; compare with it and publish again",
		m.Current, m.By, m.At.UTC().Format(time.RFC3339), m.Expected)
}

// Restored means that withdrawn releases would be used again.
type RestoreError struct {
	Releases []ident.Release
}

// Error names the releases and the flag that allows it.
func (r *RestoreError) Error() string {
	names := make([]string, len(r.Releases))
	for i, release := range r.Releases {
		names[i] = release.String()
	}
	return fmt.Sprintf("withdrawn %s would be used again; keep it under withdrawn, or allow it by --restore %s",
		strings.Join(names, ", "), strings.Join(names, " --restore "))
}
