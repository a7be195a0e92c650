package main

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// lowestPort and highestPort lie below the ports that the kernel gives out
	// by itself, so that no connection takes one between here and its use.
	minPort  = 12_000
	maxPort = 32_000
	maxPortAttempts   = 10_000
)

type portsCommand struct {
	Count int `arg:"" help:"How many."`
}

// Run prints ports that were free a moment ago, all different.
func (c *portsCommand) Run() error {
	printed := 0
	for range maxPortAttempts {
		if printed == c.Count {
			return nil
		}
		port := minPort + rand.IntN(maxPort-minPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer listener.Close() // only at the end, so that no port comes twice
		fmt.Println(port)
		printed++
	}
	return errors.Errorf("only %d of %d free ports found between %d and %d", printed, c.Count, minPort, maxPort)
}
