// Marigoldscale checks, publishes and inspects the configuration of routers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marigoldscale/marigoldscale/internal/cmd"
)

var version = "dev" // set by the linker

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.New(cmd.DefaultDeps(version)).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
