package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxRecordedRuns limits the number of run records that an engine or rater keeps.
const maxRecordedRuns = 200_000

// Outcome is the state or result of a run.
type Outcome string

// The outcomes of runs.
const (
	OutcomeRunning     Outcome = "running"
	OutcomeComplete    Outcome = "whole"
	OutcomeCancelled   Outcome = "cancelled" // client closed the connection
	OutcomeInterrupted Outcome = "cut"       // connection closed by a crash or a fault
	OutcomeFailed      Outcome = "failed"    // answered with status 500
)

// EngineRun records one run on an engine. Refused requests are not recorded.
type EngineRun struct {
	Request  ident.RequestID `json:"request"`
	Attempt  ident.AttemptID `json:"attempt"`
	Release  ident.Release   `json:"release"`
	Boot     string          `json:"boot"`
	Cold     bool            `json:"cold"`   // whether the engine was cold when the run started
	Resume   int             `json:"resume"` // frames that the caller already had
	Frames   int             `json:"frames"` // frames sent, without duplicates and frames of other attempts
	Started  time.Time       `json:"started"`
	Finished time.Time       `json:"finished"`
	Outcome  Outcome         `json:"outcome"`
}

// EngineRecord is the body of an engine's GET /admin/runs.
type EngineRecord struct {
	Name        string      `json:"name"`
	Boot        string      `json:"boot"`
	Crashes     int         `json:"crashes"` // including those of ColdCrashes and CrashText
	ColdCrashes int         `json:"falls"`   // crashes caused by overload in cold start
	ColdPeak    int         `json:"peak"`    // most concurrent requests while cold
	Refused     int         `json:"refused"`
	Runs        []EngineRun `json:"runs"`
	Orders      []Order     `json:"orders"` // accepted, oldest first
}
