package config

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

const defaultDeadline = 30 * time.Second

func defaultTeam() fleet.Team {
	return fleet.Team{Weight: 1, Priority: fleet.PriorityNormal, Deadline: defaultDeadline}
}

func defaultLimits() fleet.RolloutLimits {
	return fleet.RolloutLimits{Errors: 0.02, Quality: 0.05, Latency: 1.5}
}

// defaultSteps returns the steps of a roll-out that declares none. They assign few
// sessions to the new version until enough evidence has been collected.
func defaultSteps() []fleet.RolloutStep {
	return []fleet.RolloutStep{
		{Share: 0.01, Sessions: 50, Evidence: 50},
		{Share: 0.05, Sessions: 250, Evidence: 200},
		{Share: 0.25, Sessions: 2000, Evidence: 500},
		{Share: 1, Evidence: 1000},
	}
}
