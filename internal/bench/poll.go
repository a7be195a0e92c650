package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

const (
	pollCount  = 4000
	pollRounds = 3
)

// PollRow is the cost of one load report, read as routers do.
type PollRow struct {
	CPUSeconds float64 `json:"cpu"` // CPU time of the router's and the endpoint's side, in seconds
}

// benchPoll measures the cost of one load report. The capacity page computes the
// cost per node from it; the section has no bound of its own.
func benchPoll(uint64) (Section, error) {
	cluster := &Cluster{Client: load.NewClient(time.Minute)}
	defer cluster.Close()
	address, err := cluster.serve(stand.NewEngine(engineSpecs(1, func(*stand.EngineSpec) {})[0]))
	if err != nil {
		return Section{}, err
	}
	client := engine.NewClient(cluster.Client)
	s := Section{
		Name:        "poll",
		Description: fmt.Sprintf("%d load reports of one endpoint, one after another, %d rounds; the router asks each endpoint every %v", pollCount, pollRounds, setup.Default().Times.Report),
		Columns:     []string{"round", "CPU us/report, both sides"},
	}
	var rows []PollRow
	for round := range pollRounds {
		row, err := measurePoll(client, address)
		if err != nil {
			return Section{}, err
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{fmt.Sprint(round), formatNumber(row.CPUSeconds * 1e6)})
	}
	s.Data = rows
	return s, nil
}

func measurePoll(client *engine.Client, address string) (PollRow, error) {
	before := cpuTime()
	for range pollCount {
		if _, err := client.FetchLoad(context.Background(), address); err != nil {
			return PollRow{}, fmt.Errorf("reading load: %w", err)
		}
	}
	used := cpuTime() - before
	return PollRow{CPUSeconds: used.Seconds() / pollCount}, nil
}
