package capacity

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"time"
)

// MedianTime returns the median time of n runs of f.
func MedianTime(n int, f func()) time.Duration {
	times := make([]float64, n)
	for i := range times {
		start := time.Now()
		f()
		times[i] = float64(time.Since(start))
	}
	return time.Duration(Quantile(times, 0.5))
}

// HeapPerValue returns the mean bytes of heap that each of n values occupies.
func HeapPerValue[T any](n int, f func() T) float64 {
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

// GzipSize returns the size of data in bytes after gzip at the default level.
func GzipSize(data []byte) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data) // Writes to a buffer do not fail.
	_ = w.Close()
	return b.Len()
}
