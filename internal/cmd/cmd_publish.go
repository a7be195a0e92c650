package cmd

import (
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Publish puts a tree of files in force.
type Publish struct {
	Dir     string   `arg:"" optional:"" default:"." help:"Top of the tree." type:"path"`
	Under   string   `help:"Path that goes before the tree's own, for trees of several repositories." placeholder:"PATH"`
	Prune   bool     `help:"Drop the files in force that the tree lacks (under --under, if given)."`
	Restore []string `help:"Withdrawn model@version that may be used again; repeat it for more." placeholder:"RELEASE"`
	Expect  uint64   `help:"Refuse if another generation than this is in force." placeholder:"GENERATION"`
	DryRun  bool     `help:"Show the difference and change nothing."`
	WaitFlag
}

// Help shows examples.
func (Publish) Help() string {
	return `Collects the tree's files, checks them together with the files in force, shows
the difference, moves the head of the configuration and waits until every live
router has the new generation. Files in force that the tree lacks stay, unless
--prune drops them. A publication that stops half-way changes nothing; run it
again.

Examples:
  marigoldscale publish services/
  marigoldscale publish --dry-run services/
  marigoldscale publish --under ledger --prune .
  marigoldscale publish --restore condor@v4 services/`
}

// Run publishes the tree.
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
		r.progressf("kept, though not in this tree: %s", path)
	}
	r.reportStillWithdrawn(tree.Restore)
	if r.flags.JSON {
		return r.printJSON(result)
	}
	return nil
}

// noteWithdrawn says which restored releases the routers hold withdrawn all the
// same: what they or an operator's withdraw have spread is never undone.
func (r *Run) reportStillWithdrawn(restored []ident.Release) {
	if len(restored) == 0 {
		return
	}
	views, err := r.fetchStatuses(r.ctx)
	if err != nil {
		return // the wait has reported it
	}
	for _, w := range firstStatus(views).Withdrawn {
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
	tree := publsh.Tree{Files: files, Prune: c.Prune, Under: under}
	for _, text := range c.Restore {
		release, err := ident.ParseRelease(text)
		if err != nil {
			return publsh.Tree{}, badInput(err)
		}
		tree.Restore = append(tree.Restore, release)
	}
	return tree, nil
}

// preview gives what the tree would change in the configuration in force.
func (r *Run) preview(tree publsh.Tree) ([]config.Difference, error) {
	platform, err := r.platform()
	if err != nil {
		return nil, err
	}
	head, _, err := publsh.CurrentHead(r.ctx, platform)
	if err != nil {
		return nil, fmt.Errorf("preview: %w", err)
	}
	old, err := publsh.NewReader(platform).Files(r.ctx, head)
	if err != nil {
		return nil, fmt.Errorf("preview: %w", err)
	}
	now, problems := config.Load(tree.Over(old))
	if len(problems) > 0 {
		return nil, &publsh.Refused{Problems: problems}
	}
	before, _ := config.Load(old) // without one, everything is shown as new
	return config.Diff(before, now), nil
}
