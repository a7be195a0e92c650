package publsh

import (
	"fmt"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// InvalidError reports that the resulting configuration would be invalid.
// Nothing was published.
type InvalidError struct {
	Problems config.Problems
}

// Error lists one problem per line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration is invalid, %d problems:\n%s", len(e.Problems), e.Problems.Error())
}

// ConflictError reports that another operator changed the same paths or keys
// after this publication had started.
type ConflictError struct {
	Requested      []string // paths or setting keys modified by this change
	Conflicting    []string // entries of Requested that another operator changed differently
	By             string   // operator who published Generation
	At             time.Time
	BaseGeneration ident.Generation // generation on which this change is based
	Generation     ident.Generation // current generation
	Uncertain      bool             // this change may have been published and then replaced
}

// Error describes both changes and how to resolve the conflict.
func (e *ConflictError) Error() string {
	if e.Uncertain {
		return fmt.Sprintf("generation %d of %s replaced generation %d while the answer to this change of %s was lost; "+
			"it may have been in force in between: look at the files in force and publish again",
			e.Generation, e.By, e.BaseGeneration, strings.Join(e.Requested, ", "))
	}
	return fmt.Sprintf("this change of %s conflicts with generation %d by %s at %s, which changed %s since generation %d; "+
		"include that change and publish again",
		strings.Join(e.Requested, ", "), e.Generation, e.By, e.At.UTC().Format(time.RFC3339), strings.Join(e.Conflicting, ", "), e.BaseGeneration)
}

// GenerationError reports that the current generation is not the expected one.
type GenerationError struct {
	Expected ident.Generation
	Current  ident.Generation
	By       string
	At       time.Time
}

// Error names the current generation and the operator who published it.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation %d by %s at %s is in force, not the expected %d; compare with it and publish again",
		e.Current, e.By, e.At.UTC().Format(time.RFC3339), e.Expected)
}

// RestoreError reports that the change would restore withdrawn releases without
// an explicit request.
type RestoreError struct {
	Releases []ident.Release
}

// Error lists the releases and the flag that allows restoring them.
func (e *RestoreError) Error() string {
	names := make([]string, len(e.Releases))
	for i, release := range e.Releases {
		names[i] = release.String()
	}
	return fmt.Sprintf("withdrawn %s would be used again; keep it under withdrawn, or allow it by --restore %s",
		strings.Join(names, ", "), strings.Join(names, " --restore "))
}
