package stand

import "strings"

// EngineFaults are the faults that an engine can inject. The zero value injects
// none. Shares are spread evenly over the affected runs or frames.
type EngineFaults struct {
	Match          string  `json:"match"`   // restricts the faults of runs to prompts that contain this text
	FreshOnly      bool    `json:"fresh"`   // restricts the faults of runs to those that don't resume an answer
	MaxRuns        int     `json:"runs"`    // limits StallAfter and CutAfter to this many next runs; 0 for no limit
	Slowdown       float64 `json:"slow"`    // factor on the time per token
	ErrorShare     float64 `json:"errors"`  // share of runs that fail with status 500
	EmptyShare     float64 `json:"empty"`   // share of runs with empty answers
	QualityLoss    float64 `json:"quality"` // subtracted from the quality of each answer
	StallAfter     int     `json:"stall"`   // frames after which a stream stalls but stays open; 0 for never
	CutAfter       int     `json:"cut"`     // frames after which the connection is closed; 0 for never
	Refuse         bool    `json:"refuse"`  // refuses all runs as overloaded
	FrameDelay     Delay   `json:"late"`    // added before each frame
	DuplicateShare float64 `json:"double"`  // share of frames sent twice
	ReorderShare   float64 `json:"swap"`    // share of frames sent after their successor
	ForeignShare   float64 `json:"foreign"` // share of frames preceded by a frame of another attempt
	CrashText      string  `json:"poison"`  // a prompt that contains this text crashes the engine
	ReportIdle     bool    `json:"idle"`    // load reports always claim idle and warm
	LoadReportDown bool    `json:"mute"`    // load reports fail
	Leaving        bool    `json:"leaving"` // refuses new runs and reports that it is leaving
	Crash          bool    `json:"crash"`   // crashes the engine once, at SetFaults
	ColdStart      bool    `json:"cold"`    // begins a cold start once, at SetFaults
}

// matches reports whether the faults of runs apply to a request.
func (f EngineFaults) matches(request chatRequest) bool {
	if f.FreshOnly && request.resume > 0 {
		return false
	}
	return f.Match == "" || strings.Contains(request.prompt.Text, f.Match)
}

// crashes reports whether a prompt crashes the engine.
func (f EngineFaults) crashes(p Prompt) bool {
	return f.CrashText != "" && strings.Contains(p.Text, f.CrashText)
}

// shareSelector selects a share of its calls, evenly spread.
type shareSelector struct {
	sum float64
}

func (s *shareSelector) next(share float64) bool {
	s.sum += share
	if s.sum < 1 {
		return false
	}
	s.sum--
	return true
}

// withoutRunFaults returns the faults that affect the engine as a whole.
func (f EngineFaults) withoutRunFaults() EngineFaults {
	return EngineFaults{
		Refuse:         f.Refuse,
		CrashText:      f.CrashText,
		ReportIdle:     f.ReportIdle,
		LoadReportDown: f.LoadReportDown,
		Leaving:        f.Leaving,
	}
}
