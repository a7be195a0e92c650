package stand

import "strings"

// EngineFaults are an engine's switchable faults. The zero value is a healthy
// engine. Shares are spread evenly over the runs or frames concerned.
type EngineFaults struct {
	Match          string  `json:"match"`   // limits the faults of runs to prompts with this text
	FreshOnly      bool    `json:"fresh"`   // limits the faults of runs to those that resume nothing
	MaxRuns        int     `json:"runs"`    // limits Stall and Cut to that many next runs, 0 for no limit
	Slowdown       float64 `json:"slow"`    // factor on the time of each step
	ErrorShare     float64 `json:"errors"`  // share of runs that fail with status 500
	EmptyShare     float64 `json:"empty"`   // share of answers without text
	QualityLoss    float64 `json:"quality"` // taken off the quality of each answer
	StallAfter     int     `json:"stall"`   // frames after which a stream stops, yet stays open
	CutAfter       int     `json:"cut"`     // frames after which the connection is cut
	Refuse         bool    `json:"refuse"`  // all runs as overloaded
	FrameDelay     Delay   `json:"late"`    // added before each frame
	DuplicateShare float64 `json:"double"`  // share of frames sent twice
	ReorderShare   float64 `json:"swap"`    // share of frames sent after the next one
	ForeignShare   float64 `json:"foreign"` // share of frames preceded by another attempt's frame
	CrashText      string  `json:"poison"`  // prompts with this text crash the engine
	ReportIdle     bool    `json:"idle"`    // load reports always say idle and warm
	LoadReportDown bool    `json:"mute"`    // load reports fail
	Leaving        bool    `json:"leaving"` // refuses new runs and says so in its load report
	Crash          bool    `json:"crash"`   // crashes once, now
	ColdStart      bool    `json:"cold"`    // turns cold once, now
}

// matches tells whether the faults of runs apply to a request.
func (f EngineFaults) matches(request chatRequest) bool {
	if f.FreshOnly && request.resume > 0 {
		return false
	}
	return f.Match == "" || strings.Contains(request.prompt.Text, f.Match)
}

// poisons tells whether a prompt crashes the engine.
func (f EngineFaults) poisons(p Prompt) bool {
	return f.CrashText != "" && strings.Contains(p.Text, f.CrashText)
}

// spread says yes for a share of its calls, as evenly as it can.
type spread struct {
	sum float64
}

func (s *spread) next(share float64) bool {
	s.sum += share
	if s.sum < 1 {
		return false
	}
	s.sum--
	return true
}

// withoutRunFaults gives the faults of the engine as a whole only.
func (f EngineFaults) withoutRunFaults() EngineFaults {
	return EngineFaults{
		Refuse:         f.Refuse,
		CrashText:      f.CrashText,
		ReportIdle:     f.ReportIdle,
		LoadReportDown: f.LoadReportDown,
		Leaving:        f.Leaving,
	}
}
