package capacity

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"time"
)

// Median returns the median time of n runs of f.
func Median(n int, f func()) time.Duration {
	times := make([]float64, n)
	for i := range times {
		start := time.Now()
		f()
		times[i] = float64(time.Since(start))
	}
	return time.Duration(Quantile(times, 0.5))
}

// Held returns the bytes of heap that each of n values keeps.
func Held[T any](n int, f func() T) float64 {
	values := make([]T, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range values {
		values[i] = f()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// Gzipped returns the size of data after gzip at the default level.
func Gzipped(data []byte) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data) // A buffer takes everything.
	_ = w.Close()
	return b.Len()
}
