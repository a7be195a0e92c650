package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// runsKept bounds the records of runs that a stand-in keeps.
const runsKept = 200_000

// Outcome is how a run ended.
type Outcome string

// The outcomes of runs.
const (
	OutcomeRunning     Outcome = "running"
	OutcomeComplete    Outcome = "whole"
	OutcomeCancelled   Outcome = "cancelled" // the connection was closed
	OutcomeInterrupted Outcome = "cut"       // by a crash or a fault
	OutcomeFailed      Outcome = "failed"    // answered with status 500
)

// EngineRun records one run on an engine. Refused requests leave no record.
type EngineRun struct {
	Request  ident.RequestID `json:"request"`
	Attempt  ident.AttemptID `json:"attempt"`
	Release  ident.Release   `json:"release"`
	Boot     string          `json:"boot"`
	Cold     bool            `json:"cold"` // whether the engine was cold at the start
	Resume   int             `json:"resume"`
	Frames   int             `json:"frames"` // sent, without doubled and foreign ones
	Started  time.Time       `json:"started"`
	Finished time.Time       `json:"finished"`
	Outcome  Outcome         `json:"outcome"`
}

// EngineRecord is what GET /admin/runs of an engine gives.
type EngineRecord struct {
	Name        string      `json:"name"`
	Boot        string      `json:"boot"`
	Crashes     int         `json:"crashes"` // falls and poison included
	ColdCrashes int         `json:"falls"`   // crashes by too much load in cold start
	ColdPeak    int         `json:"peak"`    // most requests at once while cold
	Refused     int         `json:"refused"`
	Runs        []EngineRun `json:"runs"`
	Orders      []Order     `json:"orders"` // accepted, oldest first
}
