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
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// progressLines is the number of lines after which progress is told.
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

// Text gives a field as text, "" if the line has none of the name.
func (l Line) Text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	if text, is := v.(string); is {
		return text
	}
	return fmt.Sprint(v)
}

// Details gives all fields as text, by name.
func (l Line) Details() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if text := l.Text(name); text != "" {
			parts = append(parts, name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

// Parse reads a line. What stands before its JSON object, such as a collector's
// prefix, names the router if it is not empty.
func Parse(text, router string) (Line, error) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, fmt.Errorf("no JSON object in line %.60q", text)
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, fmt.Errorf("reading line %.60q: %w", text, err)
	}
	l := Line{Router: router, Fields: fields}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		l.Router = words[len(words)-1]
	}
	l.Level, l.Event, l.Request = l.take("level"), l.take("msg"), l.take("request")
	when := l.take("time")
	stamp, err := time.Parse(time.RFC3339Nano, when)
	if err != nil {
		return Line{}, fmt.Errorf("line has the time %q: %w", when, err)
	}
	l.Time = stamp
	return l, nil
}

// take removes a field and gives it as text.
func (l Line) take(name string) string {
	text := l.Text(name)
	delete(l.Fields, name)
	return text
}

// Read gives the lines of a log to a function. Lines that cannot be read are
// counted and left out. Tell hears of progress on a long log.
func Read(r io.Reader, router string, each func(Line), tell func(lines int)) (odd int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for n := 1; scanner.Scan(); n++ {
		if n%progressLines == 0 {
			tell(n)
		}
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		l, err := Parse(scanner.Text(), router)
		if err != nil {
			odd++
			continue
		}
		each(l)
	}
	if err := scanner.Err(); err != nil {
		return odd, fmt.Errorf("reading the log of %q: %w", router, err)
	}
	return odd, nil
}
