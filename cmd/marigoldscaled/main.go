// Marigoldscaled is the router daemon.
package main

import (
	"os"

	"github.com/marigoldscale/marigoldscale/internal/daemon"
)

var version = "dev"

func main() {
	os.Exit(daemon.Main(version, os.Args[1:]))
}
