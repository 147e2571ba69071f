package rig

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damasktrail.dev"
	"damasktrail.dev/group"
)

// Counts is a number of requests that were offered and completed in time.
type Counts struct {
	// Offered and Good count requests.
	Offered, Good int
}

// Report is the figures of one run.
type Report struct {
	// Deployment, Case and Arm name the run.
	Deployment, Case, Arm string
	// Tiers and Organisations count whole answers before their deadline.
	Tiers         [3]Counts
	Organisations map[string]Counts
	// Reasons counts requests without a whole answer.
	Reasons map[damasktrail.Reason]int
	// Wasted is the share of the engines' prefill whose request did not complete.
	Wasted float64
	// First is the time to the first token of answers that began, per tier and,
	// last, of all.
	First [4]*hdrhistogram.Histogram
	// Retries is per offered request.
	Retries float64
	// Violations counts requests that were shed while a lower tier could have
	// made room.
	Violations int
	// Kinds counts the answers of the model and of the services.
	Kinds map[string]Counts
	// Crashes counts crashes of endpoints.
	Crashes int
}

// Good returns the number of useful answers.
func (r Report) Good() int { return r.Tiers[0].Good + r.Tiers[1].Good + r.Tiers[2].Good }

// tally collects the figures during a run.
type tally struct {
	Report
	retries, offered int
}

// newTally returns an empty tally.
func newTally() *tally {
	t := &tally{Report: Report{Organisations: make(map[string]Counts), Kinds: make(map[string]Counts), Reasons: make(map[damasktrail.Reason]int)}}
	for i := range t.First {
		t.First[i] = hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	}
	return t
}

// offer counts a request. Crashing requests cannot be useful and do not count.
func (t *tally) offer(r *request) {
	t.offered++
	if r.poison {
		return
	}
	t.Tiers[r.info.Tier].Offered++
	c := t.Organisations[r.info.Organisation]
	c.Offered++
	t.Organisations[r.info.Organisation] = c
	k := t.Kinds[r.info.Model]
	k.Offered++
	t.Kinds[r.info.Model] = k
}

// done counts a whole answer.
func (t *tally) done(r *request, now time.Time) {
	if now.After(r.deadline) {
		t.Reasons[damasktrail.ReasonDeadline]++
		return
	}
	t.Tiers[r.info.Tier].Good++
	c := t.Organisations[r.info.Organisation]
	c.Good++
	t.Organisations[r.info.Organisation] = c
	k := t.Kinds[r.info.Model]
	k.Good++
	t.Kinds[r.info.Model] = k
}

// first records the time to the first token.
func (t *tally) first(r *request, d time.Duration) {
	for _, h := range []*hdrhistogram.Histogram{t.First[r.info.Tier], t.First[3]} {
		if err := h.RecordValue(max(1, d.Milliseconds())); err != nil {
			panic(err) // No request outlives its deadline of minutes.
		}
	}
}

// refuse counts a request without an answer.
func (t *tally) refuse(r *request, reason damasktrail.Reason) {
	if !r.poison {
		t.Reasons[reason]++
	}
}

// report returns the figures of a run that ended.
func (w *world) report(d Deployment) Report {
	t := w.tally
	res := t.Report
	res.Deployment, res.Case, res.Arm = d.Name, w.setup.Name, w.arm.String()
	res.Retries = float64(t.retries) / float64(max(1, t.offered))
	prefill, wasted := 0, 0
	for _, a := range w.agents {
		res.Crashes += a.endpoint.crashes
		if a.model == model {
			prefill += a.endpoint.prefill
			wasted += a.endpoint.wasted
		}
	}
	res.Wasted = float64(wasted) / float64(max(1, prefill))
	return res
}

// Table runs every arm in every case and deployment, four runs at a time, and
// returns the reports in this order of deployments, cases and arms.
func Table(seed uint64) []Report {
	reports := make([]Report, len(Deployments)*len(Cases)*len(Arms))
	tasks := group.New(context.Background())
	var next atomic.Int64
	var workers sync.WaitGroup
	for range 4 {
		workers.Add(1)
		tasks.Go(func(context.Context) {
			defer workers.Done()
			for i := int(next.Add(1)) - 1; i < len(reports); i = int(next.Add(1)) - 1 {
				run := i / len(Arms)
				reports[i] = Run(Deployments[run/len(Cases)], Cases[run%len(Cases)], Arms[i%len(Arms)], seed)
			}
		})
	}
	workers.Wait()
	tasks.Close()
	return reports
}

// Print writes the reports as a table. Goodput is in answers, times are in
// seconds.
func Print(out io.Writer, reports []Report) error {
	_, err := fmt.Fprintf(out, "%-6s %-18s %-13s %7s %21s %7s %23s %23s %7s %6s %5s  %s\n", "fleet", "case", "arm", "good",
		"good % tier 0/1/2", "waste %", "first tier 0 p50/95/99", "first all p50/95/99", "retries", "order", "crash",
		"good % by organisation and kind; refusals")
	if err != nil {
		return err
	}
	for _, r := range reports {
		var tail []string
		for _, o := range organisations {
			tail = append(tail, fmt.Sprintf("%s %.1f", o.name, r.Organisations[o.name].percent()))
		}
		tail = append(tail, fmt.Sprintf("model %.1f, service %.1f;", r.Kinds[model].percent(), r.Kinds[service].percent()))
		for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
			tail = append(tail, fmt.Sprintf("%s %d", reason, r.Reasons[reason]))
		}
		_, err := fmt.Fprintf(out, "%-6s %-18s %-13s %7d %21s %7.2f %23s %23s %7.3f %6d %5d  %s\n",
			r.Deployment, r.Case, r.Arm, r.Good(),
			fmt.Sprintf("%.2f/%.2f/%.2f", r.Tiers[0].percent(), r.Tiers[1].percent(), r.Tiers[2].percent()),
			100*r.Wasted, quantiles(r.First[0]), quantiles(r.First[3]), r.Retries, r.Violations, r.Crashes,
			strings.ReplaceAll(strings.Join(tail, ", "), ";,", ";"))
		if err != nil {
			return err
		}
	}
	return nil
}

// percent returns the share of useful answers in percent.
func (c Counts) percent() float64 { return 100 * float64(c.Good) / float64(max(1, c.Offered)) }

// quantiles returns three quantiles of a histogram of milliseconds in seconds.
func quantiles(h *hdrhistogram.Histogram) string {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", q(50), q(95), q(99))
}
