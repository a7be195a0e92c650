package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/marigoldscale/marigoldscale/internal/config"
)

// BenchmarkLoad loads configurations of increasing size with ten endpoints per
// file.
func BenchmarkLoad(b *testing.B) {
	const perFile = 10
	for _, endpoints := range []int{100, 400, 800, 1500} {
		files := []config.File{file("sound", validConfig)}
		for i := 0; i < endpoints; i += perFile {
			var text strings.Builder
			for j := i; j < i+perFile; j++ {
				fmt.Fprintf(&text, "[endpoint.e%d]\nzone = \"sur\"\naddress = \"10.1.%d.%d:80\"\nrelease = \"condor@v1\"\nslots = 24\ncold = 2\n", j, j/250, j%250)
			}
			files = append(files, file(fmt.Sprintf("f%d", i), text.String()))
		}
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, problems := config.Load(files); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
	}
}
