package cmd

import (
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Publish publishes a tree of configuration files.
type Publish struct {
	Dir     string   `arg:"" optional:"" default:"." help:"Root directory of the tree." type:"path"`
	Under   string   `help:"Prefix of the tree's paths, for trees of several repositories." placeholder:"PATH"`
	Prune   bool     `help:"Remove published files that are not in the tree (under --under, if given)."`
	Restore []string `help:"Withdrawn model@version that may be used again; repeat for more." placeholder:"RELEASE"`
	Expect  uint64   `help:"Refuse unless this is the current generation." placeholder:"GENERATION"`
	DryRun  bool     `help:"Show the differences without publishing."`
	WaitFlag
}

// Help returns the detailed help with examples.
func (Publish) Help() string {
	return `Collects the tree's files, checks them together with the published files, shows
the differences, publishes a new generation of the configuration and waits until
every live router has it in force. Published files that are not in the tree are
kept, unless --prune is given. A publication that is interrupted before its last
write changes nothing; run it again.

Examples:
  marigoldscale publish services/
  marigoldscale publish --dry-run services/
  marigoldscale publish --under ledger --prune .
  marigoldscale publish --restore condor@v4 services/`
}

// Run prints the differences and, unless it is a dry run, publishes the tree.
func (c *Publish) Run(r *Run) error {
	tree, err := c.loadTree()
	if err != nil {
		return err
	}
	differences, err := r.preview(tree)
	if err != nil {
		return err
	}
	for _, d := range differences {
		r.progressf("%s", d)
	}
	if c.DryRun {
		if r.flags.JSON {
			return r.printJSON(differences)
		}
		return nil
	}
	result, err := r.publishChange(tree, ident.Generation(c.Expect), c.WaitFlag)
	if err != nil {
		return err
	}
	for _, path := range result.Kept {
		r.progressf("kept, but not in this tree: %s", path)
	}
	r.reportStillWithdrawn(tree.Restore)
	if r.flags.JSON {
		return r.printJSON(result)
	}
	return nil
}

// reportStillWithdrawn prints the restored releases that the routers still treat
// as withdrawn: a withdrawal that was sent to the routers cannot be undone.
func (r *Run) reportStillWithdrawn(restored []ident.Release) {
	if len(restored) == 0 {
		return
	}
	replies, err := r.fetchStatuses(r.ctx)
	if err != nil {
		return // already reported while waiting for the routers
	}
	for _, w := range firstStatus(replies).Withdrawn {
		for _, release := range restored {
			if w.Release == release {
				r.progressf("%s stays withdrawn by %s (%s); publish it under a new version name", release, w.By, w.Reason)
			}
		}
	}
}

func (c *Publish) loadTree() (publsh.Tree, error) {
	files, err := collectFiles(c.Dir)
	if err != nil {
		return publsh.Tree{}, err
	}
	under := strings.Trim(c.Under, "/")
	if under != "" {
		under += "/"
	}
	for i := range files {
		files[i].Path = under + files[i].Path
	}
	tree := publsh.Tree{Files: files, Prune: c.Prune, Prefix: under}
	for _, text := range c.Restore {
		release, err := ident.ParseRelease(text)
		if err != nil {
			return publsh.Tree{}, badInput(err)
		}
		tree.Restore = append(tree.Restore, release)
	}
	return tree, nil
}

// preview returns the differences that the tree would make to the current
// configuration.
func (r *Run) preview(tree publsh.Tree) ([]config.Difference, error) {
	platform, err := r.platform()
	if err != nil {
		return nil, err
	}
	head, _, err := publsh.CurrentHead(r.ctx, platform)
	if err != nil {
		return nil, fmt.Errorf("reading the head for the preview: %w", err)
	}
	old, err := publsh.NewReader(platform).Files(r.ctx, head)
	if err != nil {
		return nil, fmt.Errorf("reading the published files for the preview: %w", err)
	}
	updated, problems := config.Load(tree.ApplyTo(old))
	if len(problems) > 0 {
		return nil, &publsh.InvalidError{Problems: problems}
	}
	current, _ := config.Load(old) // if it is invalid or empty, everything is shown as new
	return config.Diff(current, updated), nil
}
