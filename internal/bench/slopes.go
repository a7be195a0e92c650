package bench

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
)

// Limits of the cost of control per node.
const (
	maxControlCPU    = 0.025    // share of a core
	maxControlBytes  = 10_000.0 // per second
	maxControlMemory = 256 << 20
)

// TargetFleet is the target size, as one of its nodes sees it.
var TargetFleet = FleetSize{Routers: 360, Endpoints: 1500, Models: 21, Teams: 200, Changes: 2, Requests: 5}

// Slope is a linear fit of a cost over a dimension.
type Slope struct {
	Dimension string  `json:"dimension"`
	Cost      string  `json:"cost"`
	Intercept float64 `json:"base"`  // cost at 0
	Slope     float64 `json:"slope"` // cost per unit
	R2        float64 `json:"r2"`
}

// ControlData is the data of the control section.
type ControlData struct {
	Rows   []ControlRow `json:"rows"`
	Slopes []Slope      `json:"slopes"`
	Target ControlRow   `json:"letter"` // measured at the target size
}

// benchControl measures one control thread at several sizes, fits slopes, and
// measures the target size.
func benchControl(seed uint64) (Section, error) {
	rows, err := MeasureControl(seed)
	if err != nil {
		return Section{}, err
	}
	target, err := measureControlSize(seed, TargetFleet)
	if err != nil {
		return Section{}, err
	}
	data := ControlData{Rows: rows, Slopes: fitSlopes(rows), Target: target}
	s := Section{
		Name:        "control",
		Description: fmt.Sprintf("one control thread among peers that answer at once, %v of the fleet's time; the last row is the letter's size", controlDuration),
		Columns:     []string{"routers", "endpoints", "models", "changes/min", "requests/s", "CPU % of a core", "bytes/s sent", "beats/s", "state KB", "longest step ms"},
		Data:        data,
	}
	for _, r := range append(rows, target) {
		s.Rows = append(s.Rows, controlCells(r))
	}
	s.Bounds = []Bound{
		atMost("processor at the letter's size", target.CPU, maxControlCPU, "of a core"),
		atMost("bytes sent at the letter's size", target.Sent, maxControlBytes, "bytes/s"),
		atMost("control state at the letter's size", float64(target.State), maxControlMemory, "bytes"),
	}
	s.Plots = []Plot{controlPlot(rows)}
	return s, nil
}

func controlCells(r ControlRow) []string {
	return []string{
		fmt.Sprint(r.Fleet.Routers), fmt.Sprint(r.Fleet.Endpoints), fmt.Sprint(r.Fleet.Models),
		fmt.Sprint(r.Fleet.Changes), fmt.Sprint(r.Fleet.Requests),
		formatNumber(r.CPU * 100), formatNumber(r.Sent), formatNumber(r.Heartbeats), formatNumber(float64(r.State) / 1024),
		formatNumber(float64(r.LongestStep) / float64(time.Millisecond)),
	}
}

func controlPlot(rows []ControlRow) Plot {
	line := Line{Name: "bytes sent a second"}
	for _, r := range rows {
		if r.Fleet.Endpoints == rows[0].Fleet.Endpoints && differsOnlyIn(r.Fleet, rows[0].Fleet, "routers") {
			line.XY = append(line.XY, plotter.XY{X: float64(r.Fleet.Routers), Y: r.Sent})
		}
	}
	return Plot{Title: "heartbeat bytes by fleet size", X: "routers", Y: "bytes/s", Lines: []Line{line}}
}

// dimension is one field of FleetSize that the sizes vary.
type dimension struct {
	name  string
	value func(*FleetSize) *int
}

func dimensions() []dimension {
	return []dimension{
		{"routers", func(f *FleetSize) *int { return &f.Routers }},
		{"endpoints", func(f *FleetSize) *int { return &f.Endpoints }},
		{"models", func(f *FleetSize) *int { return &f.Models }},
		{"changes", func(f *FleetSize) *int { return &f.Changes }},
		{"requests", func(f *FleetSize) *int { return &f.Requests }},
	}
}

// differsOnlyIn reports whether two sizes are equal except for the named dimension.
func differsOnlyIn(a, b FleetSize, name string) bool {
	for _, d := range dimensions() {
		if d.name == name {
			*d.value(&a) = *d.value(&b)
		}
	}
	return a == b
}

// fitSlopes fits each cost over each dimension.
func fitSlopes(rows []ControlRow) []Slope {
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
			slopes = append(slopes, fitSlope(rows, d, c.name, c.of))
		}
	}
	return slopes
}

func fitSlope(rows []ControlRow, d dimension, name string, of func(ControlRow) float64) Slope {
	var xs, ys []float64
	for _, r := range rows {
		if differsOnlyIn(r.Fleet, rows[0].Fleet, d.name) {
			xs = append(xs, float64(*d.value(&r.Fleet)))
			ys = append(ys, of(r))
		}
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, base, slope)
	if math.IsNaN(r2) {
		r2 = 1 // the cost is constant, and the fit is exact
	}
	return Slope{Dimension: d.name, Cost: name, Intercept: base, Slope: slope, R2: r2}
}
