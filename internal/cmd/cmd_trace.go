package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/logs"
)

// Trace shows the course of one request from routers' logs.
type Trace struct {
	ID    string   `arg:"" help:"Id of the request, as its caller sent it."`
	Files []string `arg:"" optional:"" help:"Logs of routers; standard input if none is named." type:"path"`
}

// Help shows examples.
func (Trace) Help() string {
	return `Reads routers' logs, JSON lines with or without a collector's prefix, and prints
what happened to one request over all routers in order, with what they believed
at that time. A file's name stands for the router where no prefix names it.

Examples:
  marigoldscale trace 9b5fe26c9adb7fb9 edge-*.log
  zcat day.log.gz | marigoldscale trace 9b5fe26c9adb7fb9 --json`
}

// traced is the result for scripts.
type traceResult struct {
	Course  []logs.Line `json:"course"`
	Beliefs []logs.Line `json:"beliefs"`
}

// Run reads the logs.
func (c *Trace) Run(r *Run) error {
	t := logs.NewTrace(c.ID)
	if err := r.readLogs(c.Files, t.Add); err != nil {
		return err
	}
	course, beliefs := t.RequestEvents(), t.RouterEvents()
	if len(course) == 0 {
		return badInput(errors.Errorf("no line is about request %q; name the logs of all routers", c.ID))
	}
	if r.flags.JSON {
		return r.printJSON(traceResult{Course: course, Beliefs: beliefs})
	}
	return r.printTables(logTable("REQUEST "+c.ID, course), logTable("\nBELIEVED MEANWHILE", beliefs))
}

func logTable(title string, lines []logs.Line) *table {
	t := newTable(title, "TIME", "ROUTER", "EVENT", "DETAILS")
	for _, l := range lines {
		t.addRow(l.Time.Format("15:04:05.000"), l.Router, l.Event, l.FormatFields())
	}
	return t
}

// readLogs reads files, or standard input if none is named.
func (r *Run) readLogs(files []string, each func(logs.Line)) error {
	read := func(name string, open func() (*os.File, error)) error {
		f, err := open()
		if err != nil {
			return badInput(fmt.Errorf("read logs: %w", err))
		}
		defer f.Close()
		odd, err := logs.ReadLines(f, name, each, func(n int) { r.progressf("%s: %d lines read", name, n) })
		if err != nil {
			return fmt.Errorf("read logs: %w", err)
		}
		if odd > 0 {
			r.progressf("%s: %d lines are not log lines of a router and were left out", name, odd)
		}
		return nil
	}
	if len(files) == 0 {
		_, err := logs.ReadLines(r.In, "input", each, func(n int) { r.progressf("%d lines read", n) })
		if err != nil {
			return fmt.Errorf("read logs: %w", err)
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
