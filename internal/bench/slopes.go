package bench

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
)

// The letter's bounds on what control may cost a node.
const (
	letterCPU    = 0.025    // of a core
	letterBytes  = 10_000.0 // a second
	letterMemory = 256 << 20
)

// Letter is the size that the letter names, seen by one of its nodes.
var Letter = Fleet{Routers: 360, Endpoints: 1500, Models: 21, Teams: 200, Changes: 2, Requests: 5}

// Slope is a linear fit of a cost over a dimension.
type Slope struct {
	Dimension string  `json:"dimension"`
	Cost      string  `json:"cost"`
	Base      float64 `json:"base"`  // at 0
	Slope     float64 `json:"slope"` // for each more
	R2        float64 `json:"r2"`
}

// ControlData is what the control section measured.
type ControlData struct {
	Rows   []ControlRow `json:"rows"`
	Slopes []Slope      `json:"slopes"`
	Letter ControlRow   `json:"letter"` // measured at the letter's size itself
}

// benchControl measures one control thread over sizes, fits slopes, and
// measures the letter's own size.
func benchControl(seed uint64) (Section, error) {
	rows, err := Control(seed)
	if err != nil {
		return Section{}, err
	}
	letter, err := measureControl(seed, Letter)
	if err != nil {
		return Section{}, err
	}
	data := ControlData{Rows: rows, Slopes: fitAll(rows), Letter: letter}
	s := Section{
		Name:    "control",
		About:   fmt.Sprintf("one control thread among peers that answer at once, %v of the fleet's time; the last row is the letter's size", controlSpan),
		Columns: []string{"routers", "endpoints", "models", "changes/min", "requests/s", "CPU % of a core", "bytes/s sent", "beats/s", "state KB", "longest step ms"},
		Data:    data,
	}
	for _, r := range append(rows, letter) {
		s.Rows = append(s.Rows, controlCells(r))
	}
	s.Bounds = []Bound{
		atMost("processor at the letter's size", letter.CPU, letterCPU, "of a core"),
		atMost("bytes sent at the letter's size", letter.Sent, letterBytes, "bytes/s"),
		atMost("control state at the letter's size", float64(letter.State), letterMemory, "bytes"),
	}
	s.Plots = []Plot{controlPlot(rows)}
	return s, nil
}

func controlCells(r ControlRow) []string {
	return []string{
		fmt.Sprint(r.Fleet.Routers), fmt.Sprint(r.Fleet.Endpoints), fmt.Sprint(r.Fleet.Models),
		fmt.Sprint(r.Fleet.Changes), fmt.Sprint(r.Fleet.Requests),
		number(r.CPU * 100), number(r.Sent), number(r.Beats), number(float64(r.State) / 1024),
		number(float64(r.Stall) / float64(time.Millisecond)),
	}
}

func controlPlot(rows []ControlRow) Plot {
	line := Line{Name: "bytes sent a second"}
	for _, r := range rows {
		if r.Fleet.Endpoints == rows[0].Fleet.Endpoints && varies(r.Fleet, rows[0].Fleet, "routers") {
			line.XY = append(line.XY, plotter.XY{X: float64(r.Fleet.Routers), Y: r.Sent})
		}
	}
	return Plot{Title: "heartbeat bytes by fleet size", X: "routers", Y: "bytes/s", Lines: []Line{line}}
}

// dimension is one way in which fleets differ.
type dimension struct {
	name string
	of   func(*Fleet) *int
}

func dimensions() []dimension {
	return []dimension{
		{"routers", func(f *Fleet) *int { return &f.Routers }},
		{"endpoints", func(f *Fleet) *int { return &f.Endpoints }},
		{"models", func(f *Fleet) *int { return &f.Models }},
		{"changes", func(f *Fleet) *int { return &f.Changes }},
		{"requests", func(f *Fleet) *int { return &f.Requests }},
	}
}

// varies tells whether two fleets are alike but for the named dimension.
func varies(a, b Fleet, name string) bool {
	for _, d := range dimensions() {
		if d.name == name {
			*d.of(&a) = *d.of(&b)
		}
	}
	return a == b
}

// fitAll fits each cost over each dimension.
func fitAll(rows []ControlRow) []Slope {
	costs := []struct {
		name string
		of   func(ControlRow) float64
	}{
		{"cpu", func(r ControlRow) float64 { return r.CPU }},
		{"bytes", func(r ControlRow) float64 { return r.Sent }},
		{"state", func(r ControlRow) float64 { return float64(r.State) }},
	}
	var slopes []Slope
	for _, d := range dimensions() {
		for _, c := range costs {
			slopes = append(slopes, fit(rows, d, c.name, c.of))
		}
	}
	return slopes
}

func fit(rows []ControlRow, d dimension, name string, of func(ControlRow) float64) Slope {
	var xs, ys []float64
	for _, r := range rows {
		if varies(r.Fleet, rows[0].Fleet, d.name) {
			xs = append(xs, float64(*d.of(&r.Fleet)))
			ys = append(ys, of(r))
		}
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, base, slope)
	if math.IsNaN(r2) {
		r2 = 1 // the cost does not vary, and the line says so
	}
	return Slope{Dimension: d.name, Cost: name, Base: base, Slope: slope, R2: r2}
}
