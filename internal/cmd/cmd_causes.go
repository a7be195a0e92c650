package cmd

import (
	"strconv"

	"github.com/marigoldscale/marigoldscale/internal/logs"
)

// Causes sums up why requests failed, from routers' logs.
type Causes struct {
	Files []string `arg:"" optional:"" help:"Logs of routers; standard input if none is named." type:"path"`
}

// Help shows examples.
func (Causes) Help() string {
	return `Reads routers' logs and counts the requests that were refused or broken off, by
cause, with the id of one for each. Lines that routers left out under load are
missing; the metric log_lines_limited counts them.

Examples:
  marigoldscale causes edge-*.log
  marigoldscale causes --json < day.log`
}

// summed is the result for scripts.
type causesResult struct {
	Lines    int          `json:"lines"`
	Answered int          `json:"answered"`
	Causes   []logs.Cause `json:"causes"`
}

// Run reads the logs.
func (c *Causes) Run(r *Run) error {
	d := logs.NewSummary()
	if err := r.readLogs(c.Files, d.Add); err != nil {
		return err
	}
	causes := d.Causes()
	if r.flags.JSON {
		return r.printJSON(causesResult{Lines: d.Lines, Answered: d.Answered, Causes: causes})
	}
	t := newTable("", "REQUESTS", "EVENT", "STATUS", "REASON", "FOR EXAMPLE")
	t.addRow(strconv.Itoa(d.Answered), "answered", "", "", "")
	for _, x := range causes {
		t.addRow(strconv.Itoa(x.Count), x.Event, x.Status, x.Reason, x.Sample)
	}
	return r.printTables(t)
}
