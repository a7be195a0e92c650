package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/logs"
)

// Trace shows the events of one request from routers' logs.
type Trace struct {
	ID    string   `arg:"" help:"Id of the request, as sent by its caller."`
	Files []string `arg:"" optional:"" help:"Log files of routers; standard input if none is given." type:"path"`
}

// Help returns the detailed help with examples.
func (Trace) Help() string {
	return `Reads routers' logs, JSON lines with or without a log collector's prefix, and
prints the events of one request on all routers in order, with the routers' own
state changes during that time. Where no prefix names the router, the name of the
file does.

Examples:
  marigoldscale trace 9b5fe26c9adb7fb9 edge-*.log
  zcat day.log.gz | marigoldscale trace 9b5fe26c9adb7fb9 --json`
}

// traceResult is the JSON result of Trace.
type traceResult struct {
	RequestEvents []logs.Line `json:"course"`
	RouterEvents  []logs.Line `json:"beliefs"`
}

// Run reads the logs and prints the events of the request.
func (c *Trace) Run(r *Run) error {
	t := logs.NewTrace(c.ID)
	if err := r.readLogs(c.Files, t.Add); err != nil {
		return err
	}
	requestEvents, routerEvents := t.RequestEvents(), t.RouterEvents()
	if len(requestEvents) == 0 {
		return badInput(errors.Errorf("no log line mentions request %q; give the logs of all routers", c.ID))
	}
	if r.flags.JSON {
		return r.printJSON(traceResult{RequestEvents: requestEvents, RouterEvents: routerEvents})
	}
	return r.printTables(logTable("REQUEST "+c.ID, requestEvents), logTable("\nSTATE CHANGES OF ROUTERS MEANWHILE", routerEvents))
}

func logTable(title string, lines []logs.Line) *table {
	t := newTable(title, "TIME", "ROUTER", "EVENT", "DETAILS")
	for _, l := range lines {
		t.addRow(l.Time.Format("15:04:05.000"), l.Router, l.Event, l.FormatFields())
	}
	return t
}

// readLogs calls each for every log line of the files, or of standard input if no
// file is given.
func (r *Run) readLogs(files []string, each func(logs.Line)) error {
	read := func(name string, open func() (*os.File, error)) error {
		f, err := open()
		if err != nil {
			return badInput(fmt.Errorf("opening a log file: %w", err))
		}
		defer f.Close()
		skipped, err := logs.ReadLines(f, name, each, func(n int) { r.progressf("%s: %d lines read", name, n) })
		if err != nil {
			return fmt.Errorf("reading logs: %w", err)
		}
		if skipped > 0 {
			r.progressf("%s: skipped %d lines that are not log lines of a router", name, skipped)
		}
		return nil
	}
	if len(files) == 0 {
		_, err := logs.ReadLines(r.In, "input", each, func(n int) { r.progressf("%d lines read", n) })
		if err != nil {
			return fmt.Errorf("reading logs: %w", err)
		}
		return nil
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		if err := read(name, func() (*os.File, error) { return os.Open(file) }); err != nil {
			return err
		}
	}
	return nil
}
