package cmd

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/config"
)

// Check validates a tree of configuration files without network access.
type Check struct {
	Dir string `arg:"" optional:"" default:"." help:"Root directory of the tree." type:"path"`
}

// checkResult is the JSON result of Check.
type checkResult struct {
	Files     []string `json:"files"`
	Digest    string   `json:"digest"`
	Teams     int      `json:"teams"`
	Models    int      `json:"models"`
	Services  int      `json:"services"`
	Rollouts  int      `json:"rollouts"`
	Zones     int      `json:"zones"`
	Endpoints int      `json:"endpoints"`
}

// Help returns the detailed help with examples.
func (Check) Help() string {
	return `Reads every marigoldscale.toml and *.marigold.toml of the tree and reports all
problems at once, each as file:line: key: problem; accepted: valid values.

Examples:
  marigoldscale check
  marigoldscale check services/ && marigoldscale publish services/`
}

// Run validates the tree and prints the numbers of objects in it.
func (c *Check) Run(r *Run) error {
	files, err := collectFiles(c.Dir)
	if err != nil {
		return err
	}
	compiled, problems := config.Load(files)
	if err := problems.Err(); err != nil {
		return badInput(err)
	}
	result := checkResult{
		Files:     filePaths(files),
		Digest:    compiled.Digest,
		Teams:     len(compiled.Teams),
		Models:    len(compiled.Models),
		Services:  len(compiled.Services),
		Rollouts:  len(compiled.Rollouts),
		Zones:     len(compiled.Zones),
		Endpoints: len(compiled.Endpoints),
	}
	if r.flags.JSON {
		return r.printJSON(result)
	}
	fmt.Fprintf(r.Out, "%d files are valid: %d teams, %d models, %d services, %d roll-outs, %d zones, %d endpoints\n",
		len(files), result.Teams, result.Models, result.Services, result.Rollouts, result.Zones, result.Endpoints)
	return nil
}

// collectFiles reads the configuration files of a tree. It returns an error if
// there are none.
func collectFiles(dir string) ([]config.File, error) {
	files, err := config.Collect(dir)
	if err != nil {
		return nil, badInput(err)
	}
	if len(files) == 0 {
		return nil, badInput(fmt.Errorf("no marigoldscale.toml or *.marigold.toml under %q", dir))
	}
	return files, nil
}

func filePaths(files []config.File) []string {
	all := make([]string, len(files))
	for i, f := range files {
		all[i] = f.Path
	}
	return all
}
