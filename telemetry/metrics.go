// Package telemetry provides the metrics and the logger of a process. Metrics
// are collected with OpenTelemetry and served in the Prometheus format. Start
// from [New].
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"damasktrail.dev"
)

// Metrics holds the instruments of one process. It is safe for use by several
// goroutines.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	refusals metric.Int64Counter
	retries  metric.Int64Counter

	mu       sync.Mutex
	counters map[string]metric.Int64Counter
	// histograms holds the latency histograms by name, classAttributes the
	// attributes of each class.
	histograms      map[string]metric.Float64Histogram
	classAttributes map[Class]metric.MeasurementOption
	// refusalAttributes caches the attribute sets of refusals, so that only the
	// first of a kind allocates when it is counted.
	refusalAttributes map[refusalKey]metric.MeasurementOption
}

// Class is a group of requests that a histogram shows separately.
type Class struct {
	// Tier is the rank; 0 is the highest.
	Tier int
	// Kind is the kind of requests, such as "streaming". It must take few
	// values.
	Kind string
}

type refusalKey struct {
	reason  damasktrail.Reason
	outcome damasktrail.Outcome
	tier    string
}

// New returns the metrics of the named component, such as entry.
func New(component string) (res *Metrics, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up metrics of %s: %w", component, err)
		}
	}()
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("damasktrail.dev/" + component)
	refusals, err := meter.Int64Counter("damasktrail_refusals", metric.WithDescription("Requests refused, by reason, outcome and tier."))
	if err != nil {
		return nil, err
	}
	retries, err := meter.Int64Counter("damasktrail_retries", metric.WithDescription("Attempts after the first, by the reason of the one before."))
	if err != nil {
		return nil, err
	}
	return &Metrics{
		registry:          registry,
		meter:             meter,
		refusals:          refusals,
		retries:           retries,
		counters:          map[string]metric.Int64Counter{},
		histograms:        map[string]metric.Float64Histogram{},
		classAttributes:   map[Class]metric.MeasurementOption{},
		refusalAttributes: map[refusalKey]metric.MeasurementOption{},
	}, nil
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Refused counts a refusal. The tier is the name of a tier in the document, or
// empty.
func (m *Metrics) Refused(r *damasktrail.Refusal, tier string) {
	key := refusalKey{reason: r.Reason, outcome: r.Outcome, tier: tier}
	m.mu.Lock()
	attributes, found := m.refusalAttributes[key]
	if !found {
		attributes = metric.WithAttributeSet(attribute.NewSet(
			attribute.String("reason", string(key.reason)),
			attribute.String("outcome", string(key.outcome)),
			attribute.String("tier", key.tier),
		))
		m.refusalAttributes[key] = attributes
	}
	m.mu.Unlock()
	m.refusals.Add(context.Background(), 1, attributes)
}

// Retried counts an attempt that follows one that ended with reason.
func (m *Metrics) Retried(reason damasktrail.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

// Count adds n to the counter damasktrail_NAME, which has no attributes.
func (m *Metrics) Count(name string, n int64) {
	m.mu.Lock()
	c, found := m.counters[name]
	if !found {
		var err error
		c, err = m.meter.Int64Counter("damasktrail_" + name)
		if err != nil {
			m.mu.Unlock()
			return // Only a malformed name fails, which the tests of the callers detect.
		}
		m.counters[name] = c
	}
	m.mu.Unlock()
	c.Add(context.Background(), n)
}

// latencyBucketsSeconds are the bucket boundaries of latency histograms.
var latencyBucketsSeconds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16}

// Latency records a duration in the histogram damasktrail_NAME_seconds for a
// class.
func (m *Metrics) Latency(name string, c Class, d time.Duration) {
	m.mu.Lock()
	h, found := m.histograms[name]
	if !found {
		var err error
		h, err = m.meter.Float64Histogram("damasktrail_"+name+"_seconds", metric.WithExplicitBucketBoundaries(latencyBucketsSeconds...))
		if err != nil {
			m.mu.Unlock()
			return // Only a malformed name fails, which the tests of the callers detect.
		}
		m.histograms[name] = h
	}
	attributes, found := m.classAttributes[c]
	if !found {
		attributes = metric.WithAttributeSet(attribute.NewSet(attribute.Int("tier", c.Tier), attribute.String("kind", c.Kind)))
		m.classAttributes[c] = attributes
	}
	m.mu.Unlock()
	h.Record(context.Background(), d.Seconds(), attributes)
}

// Gauge publishes damasktrail_NAME, whose value is the result of f at each
// scrape.
func (m *Metrics) Gauge(name, description string, f func() float64) (err error) {
	_, err = m.meter.Float64ObservableGauge("damasktrail_"+name,
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(f())
			return nil
		}))
	return err
}
