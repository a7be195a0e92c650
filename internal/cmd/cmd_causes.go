package cmd

import (
	"strconv"

	"github.com/marigoldscale/marigoldscale/internal/logs"
)

// Causes counts the causes of failed requests in routers' logs.
type Causes struct {
	Files []string `arg:"" optional:"" help:"Log files of routers; standard input if none is given." type:"path"`
}

// Help returns the detailed help with examples.
func (Causes) Help() string {
	return `Reads routers' logs and counts the requests that were refused or aborted, by
cause, with the id of one request for each. Log lines that routers dropped under
load are missing; the metric log_lines_limited counts them.

Examples:
  marigoldscale causes edge-*.log
  marigoldscale causes --json < day.log`
}

// causesResult is the JSON result of Causes.
type causesResult struct {
	Lines    int          `json:"lines"`
	Answered int          `json:"answered"`
	Causes   []logs.Cause `json:"causes"`
}

// Run reads the logs.
func (c *Causes) Run(r *Run) error {
	summary := logs.NewSummary()
	if err := r.readLogs(c.Files, summary.Add); err != nil {
		return err
	}
	causes := summary.Causes()
	if r.flags.JSON {
		return r.printJSON(causesResult{Lines: summary.Lines, Answered: summary.Answered, Causes: causes})
	}
	t := newTable("", "REQUESTS", "EVENT", "STATUS", "REASON", "FOR EXAMPLE")
	t.addRow(strconv.Itoa(summary.Answered), "answered", "", "", "")
	for _, cause := range causes {
		t.addRow(strconv.Itoa(cause.Count), cause.Event, cause.Status, cause.Reason, cause.Sample)
	}
	return r.printTables(t)
}
