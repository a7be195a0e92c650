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

// PollRow is what one read of an endpoint's load costs, as routers make it.
type PollRow struct {
	CPU float64 `json:"cpu"` // seconds of processor, of the router's and the endpoint's side
}

// benchPoll measures one load report; its cost for a node is worked out on the
// capacity page and has no bound of its own.
func benchPoll(uint64) (Section, error) {
	site := &Site{Client: load.NewClient(time.Minute)}
	defer site.Close()
	address, err := site.serve(stand.NewEngine(engines(1, func(*stand.EngineSpec) {})[0]))
	if err != nil {
		return Section{}, err
	}
	client := engine.NewClient(site.Client)
	s := Section{
		Name:    "poll",
		About:   fmt.Sprintf("%d load reports of one endpoint, one after another, %d rounds; the router asks each endpoint every %v", pollCount, pollRounds, setup.Default().Times.Report),
		Columns: []string{"round", "CPU us/report, both sides"},
	}
	var rows []PollRow
	for round := range pollRounds {
		row, err := measurePoll(client, address)
		if err != nil {
			return Section{}, err
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{fmt.Sprint(round), number(row.CPU * 1e6)})
	}
	s.Data = rows
	return s, nil
}

func measurePoll(client *engine.Client, address string) (PollRow, error) {
	before := processorTime()
	for range pollCount {
		if _, err := client.FetchLoad(context.Background(), address); err != nil {
			return PollRow{}, fmt.Errorf("reading load: %w", err)
		}
	}
	used := processorTime() - before
	return PollRow{CPU: used.Seconds() / pollCount}, nil
}
