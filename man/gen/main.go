// Gen writes the manual page of the command line, man/marigoldscale.1. Run it as
// go run ./man/gen in the root of the repository.
package main

import (
	"fmt"
	"os"

	"github.com/marigoldscale/marigoldscale/internal/cmd"
)

func main() {
	if err := writePage("man/marigoldscale.1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func writePage(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("writing the manual page: %w", err)
	}
	if err := cmd.New(cmd.DefaultDeps("")).WriteManPage(f); err != nil {
		return err
	}
	return f.Close()
}
