package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// fullPartTable returns a table with as many crashes as it keeps, each with 40 suspects.
func fullPartTable() *poison.PartTable {
	table := poison.NewPartTable(time.Hour)
	for i := range 1024 {
		for k := range 20 {
			table.Observe(runAt(float64(i)/10), partRun(ident.Fingerprint(i*20+k), i, float64(i)/10, true, fmt.Sprint("first", k%4), fmt.Sprint("second", (i*7+k)%500)))
		}
	}
	return table
}

func BenchmarkPartTableObserveAnswer(b *testing.B) {
	table := fullPartTable()
	b.ResetTimer()
	for i := range b.N {
		table.Observe(runAt(200), partRun(ident.Fingerprint(i), 5000, 200, false, fmt.Sprint("first", i%4), fmt.Sprint("second", i%500)))
	}
}

func BenchmarkPartTableRefused(b *testing.B) {
	table := fullPartTable()
	b.ResetTimer()
	for range b.N {
		table.Refused(runAt(200))
	}
}

func BenchmarkPartTableDecideAfterACrash(b *testing.B) {
	table := fullPartTable()
	b.ResetTimer()
	for i := range b.N {
		table.Observe(runAt(200), partRun(ident.Fingerprint(i), 6000+i, 200, true, "first1", fmt.Sprint("second", i%500)))
		table.Refused(runAt(200))
	}
}
