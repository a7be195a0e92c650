package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

type loadCommand struct {
	Target   []string      `required:"" help:"Base URL of a router; repeat for round robin over several." placeholder:"URL"`
	Team     []string      `required:"" help:"Team with its API key; repeat for more, the first with weight 1, the next 1/2, then 1/3." placeholder:"TEAM=KEY"`
	Model    string        `required:"" help:"Model of the requests."`
	Rate     float64       `default:"10" help:"Requests per second, sent without waiting for earlier ones (open loop)."`
	Fixed    bool          `help:"Space the requests evenly instead of as a Poisson process."`
	Count    int           `default:"0" help:"Stop after this many requests, 0 for no limit."`
	Length   time.Duration `default:"10s" help:"Stop after this time."`
	Limit    int           `default:"20000" help:"Maximum number of requests in flight; more are dropped and counted."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	Sessions int           `default:"0" help:"Sessions per team, 0 for none."`
	Long     float64       `default:"0.2" help:"Share of long prompts; the other requests are short questions."`
	Deadline time.Duration `default:"0s" help:"Deadline of each request, 0 for the team's deadline."`
	Timeout  time.Duration `default:"2m" help:"Timeout of each request."`
}

// Run sends the requests and prints the result as JSON.
func (c *loadCommand) Run() error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.NewRunner(load.NewClient(c.Timeout), nil).Run(ctx, plan)
	if err != nil {
		return fmt.Errorf("running load: %w", err)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("printing result: %w", err)
	}
	return nil
}

func (c *loadCommand) plan() (load.Plan, error) {
	plan := load.Plan{
		Targets:     c.Target,
		Rate:        c.Rate,
		Process:     load.ArrivalsPoisson,
		Count:       c.Count,
		Duration:    c.Length,
		MaxInFlight: c.Limit,
		Seed:        c.Seed,
		Mix:         c.requestMix(),
	}
	if c.Fixed {
		plan.Process = load.ArrivalsFixed
	}
	for i, text := range c.Team {
		name, key, ok := strings.Cut(text, "=")
		if !ok {
			return plan, fmt.Errorf("team %q is not of the form TEAM=KEY", text)
		}
		plan.Teams = append(plan.Teams, load.Team{
			ID:       ident.TeamID(name),
			Key:      key,
			Weight:   1 / float64(i+1),
			Sessions: c.Sessions,
		})
	}
	return plan, nil
}

func (c *loadCommand) requestMix() []load.RequestKind {
	quick := load.ShortPrompt(c.Model)
	long := load.LongPrompt(c.Model)
	quick.Weight = 1 - c.Long
	long.Weight = c.Long
	quick.Deadline = c.Deadline
	long.Deadline = c.Deadline
	switch {
	case c.Long <= 0:
		return []load.RequestKind{quick}
	case c.Long >= 1:
		return []load.RequestKind{long}
	}
	return []load.RequestKind{quick, long}
}
