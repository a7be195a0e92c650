package main

import (
	"fmt"
	"net"
)

type portsCommand struct {
	Count int `arg:"" help:"How many."`
}

// Run prints ports that were free a moment ago, all different.
func (c *portsCommand) Run() error {
	for range c.Count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("taking a free port: %w", err)
		}
		defer listener.Close() // only at the end, so that no port comes twice
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
