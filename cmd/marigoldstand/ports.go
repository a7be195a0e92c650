package main

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// minPort and maxPort lie below the kernel's ephemeral port range, so that no
	// outgoing connection takes a printed port before it is used.
	minPort         = 12_000
	maxPort         = 32_000
	maxPortAttempts = 10_000
)

type portsCommand struct {
	Count int `arg:"" help:"Number of ports."`
}

// Run prints distinct ports that were free when it tried them.
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
		defer listener.Close() // kept open until return, so that no port is printed twice
		fmt.Println(port)
		printed++
	}
	return errors.Errorf("only %d of %d free ports found between %d and %d", printed, c.Count, minPort, maxPort)
}
