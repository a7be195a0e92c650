// Stand-2 plays the cases of the second review against the project's own routers: it
// stands in for the platform's store, for servers and for consumers, on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return 2
	}
	cases := map[string]func(*scene, bool) (broken bool, err error){
		"models":   modelNames,
		"sessions": sessionNames,
		"refusals": unknownModel,
		"slow":     slowKind,
		"ahead":    sentAhead,
		"hot":      hotRequest,
		"crowd":    crowdOfKept,
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return 2
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	s, err := newScene()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.record = io.MultiWriter(f, os.Stdout)
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("begin", "case", os.Args[1], "trouble", trouble)
	broken, err := c(s, trouble)
	switch {
	case err != nil:
		s.note("could not run", "error", err)
		return 2
	case broken:
		s.note("the rule was broken")
		return 1
	}
	s.note("the rule held")
	return 0
}
