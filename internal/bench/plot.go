package bench

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot is a line plot.
type Plot struct {
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines []Line `json:"lines"`
}

// Line is one named series of points.
type Line struct {
	Name string      `json:"name"`
	XY   plotter.XYs `json:"xy"`
}

// FileName returns the name of the plot's file.
func (p Plot) FileName() string {
	return strings.ReplaceAll(strings.ToLower(p.Title), " ", "-") + ".svg"
}

// Draw writes the plot as an SVG file to a directory.
func (p Plot) Draw(dir string) error {
	figure := plot.New()
	figure.Title.Text = p.Title
	figure.X.Label.Text = p.X
	figure.Y.Label.Text = p.Y
	figure.Legend.Top = true
	args := make([]any, 0, 2*len(p.Lines))
	for _, l := range p.Lines {
		args = append(args, l.Name, l.XY)
	}
	if err := plotutil.AddLinePoints(figure, args...); err != nil {
		return fmt.Errorf("drawing %q: %w", p.Title, err)
	}
	if err := figure.Save(plotWidth, plotHeight, filepath.Join(dir, p.FileName())); err != nil {
		return fmt.Errorf("saving %q: %w", p.Title, err)
	}
	return nil
}
