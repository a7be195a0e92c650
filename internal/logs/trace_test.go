package logs_test

import (
	"strings"
	"testing"

	"github.com/marigoldscale/marigoldscale/internal/logs"
)

const sampleLog = `12.1 edge-1 {"level":"info","time":"2026-12-04T10:00:00.000Z","msg":"configuration in force","name":"7"}
12.1 edge-1 {"level":"info","time":"2026-12-04T10:01:00.000Z","msg":"endpoint up","name":"e1"}
12.1 edge-1 {"level":"info","time":"2026-12-04T10:01:00.000Z","msg":"endpoint up","name":"e2"}
not a line
12.2 edge-2 {"level":"info","time":"2026-12-04T10:01:01.000Z","msg":"store lost"}
12.3 edge-1 {"level":"warn","time":"2026-12-04T10:01:02.500Z","msg":"refused","request":"q1","status":502,"reason":"broken"}
12.2 edge-1 {"level":"info","time":"2026-12-04T10:01:02.000Z","msg":"placed","request":"q1","endpoint":"e1","attempt":0}
12.4 edge-1 {"level":"info","time":"2026-12-04T10:01:03.000Z","msg":"answered","request":"q2","status":200}
12.5 edge-1 {"level":"warn","time":"2026-12-04T10:01:03.100Z","msg":"refused","request":"q3","status":502,"reason":"broken"}
12.6 edge-1 {"level":"warn","time":"2026-12-04T10:01:03.200Z","msg":"broken off","request":"q4","reason":"timeout"}
12.9 edge-1 {"level":"info","time":"2026-12-04T10:02:03.000Z","msg":"endpoint gone","name":"e1"}
`

func formatEvents(lines []logs.Line) string {
	var words []string
	for _, l := range lines {
		words = append(words, l.Router+" "+l.Event)
	}
	return strings.Join(words, ", ")
}

func TestTrace(t *testing.T) {
	trace := logs.NewTrace("q1")
	invalid, err := logs.ReadLines(strings.NewReader(sampleLog), "file", trace.Add, func(int) {})
	if err != nil || invalid != 1 {
		t.Fatalf("%d invalid lines, %v", invalid, err)
	}
	if got := formatEvents(trace.RequestEvents()); got != "edge-1 placed, edge-1 refused" {
		t.Errorf("request events are %s", got)
	}
	if got := formatEvents(trace.RouterEvents()); got != "edge-1 configuration in force, edge-1 endpoint up" {
		t.Errorf("router events are %s", got)
	}
	if got := trace.RequestEvents()[1].FormatFields(); got != "reason=broken status=502" {
		t.Errorf("fields are %s", got)
	}
}

func TestSummary(t *testing.T) {
	s := logs.NewSummary()
	if _, err := logs.ReadLines(strings.NewReader(sampleLog), "file", s.Add, func(int) {}); err != nil {
		t.Fatal(err)
	}
	causes := s.Causes()
	if s.Answered != 1 || len(causes) != 2 || causes[0] != (logs.Cause{Event: "refused", Status: "502", Reason: "broken", Count: 2, Sample: "q1"}) {
		t.Errorf("%d answered, causes %+v", s.Answered, causes)
	}
}

func TestParseLineWithoutPrefix(t *testing.T) {
	l, err := logs.ParseLine(`{"time":"2026-12-04T10:00:00Z","msg":"started"}`, "edge-9")
	if err != nil || l.Router != "edge-9" || l.Event != "started" {
		t.Errorf("%+v, %v", l, err)
	}
	if _, err := logs.ParseLine(`{"msg":"started"}`, "edge-9"); err == nil {
		t.Error("a line without a time was accepted")
	}
}
