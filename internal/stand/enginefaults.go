package stand

import "strings"

// EngineFaults are an engine's switchable faults. The zero value is a healthy
// engine. Shares are spread evenly over the runs or frames concerned.
type EngineFaults struct {
	Match   string  `json:"match"`   // limits the faults of runs to prompts with this text
	Fresh   bool    `json:"fresh"`   // limits the faults of runs to those that resume nothing
	Runs    int     `json:"runs"`    // limits Stall and Cut to that many next runs, 0 for no limit
	Slow    float64 `json:"slow"`    // factor on the time of each step
	Errors  float64 `json:"errors"`  // share of runs that fail with status 500
	Empty   float64 `json:"empty"`   // share of answers without text
	Quality float64 `json:"quality"` // taken off the quality of each answer
	Stall   int     `json:"stall"`   // frames after which a stream stops, yet stays open
	Cut     int     `json:"cut"`     // frames after which the connection is cut
	Refuse  bool    `json:"refuse"`  // all runs as overloaded
	Late    Delay   `json:"late"`    // added before each frame
	Double  float64 `json:"double"`  // share of frames sent twice
	Swap    float64 `json:"swap"`    // share of frames sent after the next one
	Foreign float64 `json:"foreign"` // share of frames preceded by another attempt's frame
	Poison  string  `json:"poison"`  // prompts with this text crash the engine
	Idle    bool    `json:"idle"`    // load reports always say idle and warm
	Mute    bool    `json:"mute"`    // load reports fail
	Leaving bool    `json:"leaving"` // refuses new runs and says so in its load report
	Crash   bool    `json:"crash"`   // crashes once, now
	Cold    bool    `json:"cold"`    // turns cold once, now
}

// matches tells whether the faults of runs apply to a request.
func (f EngineFaults) matches(request chatRequest) bool {
	if f.Fresh && request.resume > 0 {
		return false
	}
	return f.Match == "" || strings.Contains(request.prompt.Text, f.Match)
}

// poisons tells whether a prompt crashes the engine.
func (f EngineFaults) poisons(p Prompt) bool {
	return f.Poison != "" && strings.Contains(p.Text, f.Poison)
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
		Refuse:  f.Refuse,
		Poison:  f.Poison,
		Idle:    f.Idle,
		Mute:    f.Mute,
		Leaving: f.Leaving,
	}
}
