package measurer

import (
	"fmt"
	"testing"
)

// BenchmarkPlacement measures decisions in a cell that is full of tasks.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{690, 6900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			cell := newBench(workers, 140)
			cell.fill(workers * tasksPerWorker)
			b.ResetTimer()
			took := cell.decide(b.N)
			b.ReportMetric(float64(took.Microseconds())/float64(b.N)/87, "us/decision")
		})
	}
}
