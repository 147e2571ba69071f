package fleet

import (
	"math"
	"time"
)

const (
	// MinPercent is the least stated time that work takes at an endpoint.
	MinPercent = 1
	// MaxPercent is the greatest.
	MaxPercent = 100_000
	// loadMemory is the time after which a stated figure has lost about two thirds of its
	// weight. Disturbances of endpoints last some hundred milliseconds.
	loadMemory = 250 * time.Millisecond
	// maxLoadAge bounds the age of a figure that is used as a current one.
	maxLoadAge = 10 * time.Second
	// lastingWeight is the weight of a new figure in the lasting estimate: with some
	// figures a second it follows within ten seconds, and hardly follows a disturbance.
	lastingWeight = 0.05
	// reportedWeight is the number of figures that a peer's estimate counts for.
	reportedWeight = 4
)

// StatedLoad is what a response states of the load of its endpoint. The zero value states
// nothing.
type StatedLoad struct {
	// Percent is how long work takes at the endpoint, 100 as usual; zero or between
	// MinPercent and MaxPercent.
	Percent int
	// Age is the time since the response arrived.
	Age time.Duration
}

// Valid returns the load if it is in range, else the zero value. Peers may send any number.
func (l StatedLoad) Valid() StatedLoad {
	if l.Percent < MinPercent || l.Percent > MaxPercent || l.Age < 0 || l.Age > maxLoadAge {
		return StatedLoad{}
	}
	return l
}

// LoadReport is the lasting estimate of one endpoint, sent to other entries as it is.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`
	// ID and StartedMillis identify the process of the endpoint.
	ID            string
	StartedMillis int64
	Percent       int
}

// Process returns the process that the report is about.
func (r LoadReport) Process() Process { return Process{ID: r.ID, StartedMillis: r.StartedMillis} }

// LoadEstimate estimates from stated figures how long work takes at an endpoint, as a
// factor: 1 as usual. A figure says little about the endpoint half a second later, but its
// lasting part differs between endpoints. It is immutable; the zero value knows nothing.
type LoadEstimate struct {
	// current is the last figure and at the time at which it was stated.
	current float64
	at      time.Time
	// lasting is a moving average over figures, of which there were count, at most
	// 1/lastingWeight.
	lasting, count float64
}

// With returns the estimate after a figure. An older figure than the last one counts for
// the lasting part only.
func (l LoadEstimate) With(x StatedLoad, now time.Time) LoadEstimate {
	if x.Percent == 0 {
		return l
	}
	factor, at := float64(x.Percent)/100, now.Add(-x.Age)
	l.count = min(l.count+1, 1/lastingWeight)
	l.lasting += (factor - l.lasting) / l.count
	if at.After(l.at) {
		l.current, l.at = factor, at
	}
	return l
}

// WithReport returns the estimate after a report of another entry, which counts only while
// this entry has heard nothing itself.
func (l LoadEstimate) WithReport(r LoadReport) LoadEstimate {
	if l.count > 0 || r.Percent < MinPercent || r.Percent > MaxPercent {
		return l
	}
	return LoadEstimate{lasting: float64(r.Percent) / 100, count: reportedWeight}
}

// Known reports whether there is an estimate.
func (l LoadEstimate) Known() bool { return l.count > 0 }

// StatedAt returns the time at which this entry last heard a figure, zero if never.
func (l LoadEstimate) StatedAt() time.Time { return l.at }

// Lasting returns the lasting factor, zero when it is unknown.
func (l LoadEstimate) Lasting() float64 { return l.lasting }

// Mean returns the factor to be expected on average over a time from now on.
func (l LoadEstimate) Mean(over time.Duration, now time.Time) float64 {
	if l.at.IsZero() {
		return l.lasting
	}
	weight := math.Exp(-float64(max(0, now.Sub(l.at))) / float64(loadMemory))
	if x := float64(over) / float64(loadMemory); x > 0.01 {
		weight *= (1 - math.Exp(-x)) / x
	}
	return l.lasting + weight*(l.current-l.lasting)
}
