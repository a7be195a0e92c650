package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the length of the longest line that can be read.
	maxLineBytes = 1 << 20
	// progressLines is the number of lines between two progress reports.
	progressLines = 500_000
)

// Line is one line of a router's log.
type Line struct {
	Time    time.Time      `json:"time"`
	Router  string         `json:"router"`
	Level   string         `json:"level"`
	Event   string         `json:"event"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields"`
}

// Field returns a field as text, or "" if the line does not have it.
func (l Line) Field(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	if text, is := v.(string); is {
		return text
	}
	return fmt.Sprint(v)
}

// FormatFields returns all non-empty fields as name=value pairs, sorted by name.
func (l Line) FormatFields() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if text := l.Field(name); text != "" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

// ParseLine parses a log line. The last word before the JSON object, such as from
// a log collector's prefix, is the router's name; router is used if there is none.
func ParseLine(text, router string) (Line, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("no JSON object in line %.60q", text)
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, fmt.Errorf("parsing line %.60q: %w", text, err)
	}
	l := Line{Router: router, Fields: fields}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Router = words[len(words)-1]
	}
	l.Level, l.Event, l.Request = l.take("level"), l.take("msg"), l.take("request")
	when := l.take("time")
	stamp, err := time.Parse(time.RFC3339Nano, when)
	if err != nil {
		return Line{}, fmt.Errorf("invalid time %q in log line: %w", when, err)
	}
	l.Time = stamp
	return l, nil
}

// take removes a field and returns it as text.
func (l Line) take(name string) string {
	text := l.Field(name)
	delete(l.Fields, name)
	return text
}

// ReadLines calls each for every line of a log, and progress with the number of
// lines read so far on a long one. Lines that cannot be parsed are skipped and
// counted.
func ReadLines(r io.Reader, router string, each func(Line), progress func(lines int)) (invalid int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		if n%progressLines == 0 {
			progress(n)
		}
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		l, err := ParseLine(scanner.Text(), router)
		if err != nil {
			invalid++
			continue
		}
		each(l)
	}
	if err := scanner.Err(); err != nil {
		return invalid, fmt.Errorf("reading log of router %q: %w", router, err)
	}
	return invalid, nil
}
