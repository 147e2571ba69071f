package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// ratioBuckets are the bucket boundaries of ratio histograms. An eighth of the objective is the
// time within which a refusal costs its caller nothing.
var ratioBuckets = []float64{0.03, 0.125, 0.25, 0.5, 0.75, 1, 2, 4, 8}

// Ratio records a number without unit in the histogram damasktrail_NAME_ratio for a class.
func (m *Metrics) Ratio(name string, c Class, x float64) {
	m.mu.Lock()
	h, found := m.histograms[name]
	if !found {
		var err error
		h, err = m.meter.Float64Histogram("damasktrail_"+name+"_ratio", metric.WithExplicitBucketBoundaries(ratioBuckets...))
		if err != nil {
			m.mu.Unlock()
			return // Only a malformed name fails, which the tests of the callers detect.
		}
		m.histograms[name] = h
	}
	m.mu.Unlock()
	h.Record(context.Background(), x, metric.WithAttributes(attribute.Int("tier", c.Tier), attribute.String("kind", c.Kind)))
}
