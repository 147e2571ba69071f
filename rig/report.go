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

// Counts is a number of requests and the number of useful answers to them.
type Counts struct {
	// Offered counts requests, Good the whole answers before their deadline, which
	// are useful.
	Offered, Good int
}

// Report holds the results of one run.
type Report struct {
	// Deployment, Case and Arm identify the run.
	Deployment, Case, Arm string
	// Tiers and Organisations count requests and useful answers.
	Tiers         [3]Counts
	Organisations map[string]Counts
	// Reasons counts requests without a useful answer.
	Reasons map[damasktrail.Reason]int
	// Wasted is the share of the engines' prefill tokens that was spent on
	// requests without a whole answer.
	Wasted float64
	// TimeToFirstToken holds the times in milliseconds of answers that started,
	// per tier and, last, of all.
	TimeToFirstToken [4]*hdrhistogram.Histogram
	// RetryRatio is the number of retries per offered request.
	RetryRatio float64
	// Violations counts requests that were shed while a lower tier could have
	// made room.
	Violations int
	// Kinds counts the requests and useful answers of the model and of the
	// services.
	Kinds map[string]Counts
	// Crashes counts crashes of endpoints.
	Crashes int
}

// Good returns the number of useful answers.
func (r Report) Good() int { return r.Tiers[0].Good + r.Tiers[1].Good + r.Tiers[2].Good }

// statistics collects the results during a run.
type statistics struct {
	Report
	retries, offered int
}

// newStatistics returns empty statistics.
func newStatistics() *statistics {
	t := &statistics{Report: Report{Organisations: make(map[string]Counts), Kinds: make(map[string]Counts), Reasons: make(map[damasktrail.Reason]int)}}
	for i := range t.TimeToFirstToken {
		t.TimeToFirstToken[i] = hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	}
	return t
}

// recordOffered counts a request. Crashing requests cannot be answered and only
// enter the retry ratio.
func (t *statistics) recordOffered(r *request) {
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

// recordAnswer counts a whole answer, or a missed deadline when it is late.
func (t *statistics) recordAnswer(r *request, now time.Time) {
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

// recordFirstToken records the time to the first token.
func (t *statistics) recordFirstToken(r *request, d time.Duration) {
	for _, h := range []*hdrhistogram.Histogram{t.TimeToFirstToken[r.info.Tier], t.TimeToFirstToken[3]} {
		if err := h.RecordValue(max(1, d.Milliseconds())); err != nil {
			panic(err) // The histogram takes up to an hour, and deadlines are minutes.
		}
	}
}

// recordRefusal counts a request that ended without a whole answer.
func (t *statistics) recordRefusal(r *request, reason damasktrail.Reason) {
	if !r.poison {
		t.Reasons[reason]++
	}
}

// report returns the results of a run that ended.
func (s *simulation) report(d Deployment) Report {
	t := s.statistics
	res := t.Report
	res.Deployment, res.Case, res.Arm = d.Name, s.testCase.Name, s.arm.String()
	res.RetryRatio = float64(t.retries) / float64(max(1, t.offered))
	prefill, wasted := 0, 0
	for _, a := range s.agents {
		res.Crashes += a.endpoint.crashes
		if a.model == model {
			prefill += a.endpoint.prefillTokens
			wasted += a.endpoint.wastedTokens
		}
	}
	res.Wasted = float64(wasted) / float64(max(1, prefill))
	return res
}

// Table runs every arm in every case and deployment, four runs concurrently,
// and returns the reports in order of deployments, cases and arms.
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

// Print writes the reports as a table. Goodput counts useful answers, times are
// in seconds.
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
			100*r.Wasted, quantiles(r.TimeToFirstToken[0]), quantiles(r.TimeToFirstToken[3]), r.RetryRatio, r.Violations, r.Crashes,
			strings.ReplaceAll(strings.Join(tail, ", "), ";,", ";"))
		if err != nil {
			return err
		}
	}
	return nil
}

// percent returns the useful answers in percent of the requests.
func (c Counts) percent() float64 { return 100 * float64(c.Good) / float64(max(1, c.Offered)) }

// quantiles formats the 50th, 95th and 99th percentiles in seconds of a
// histogram in milliseconds.
func quantiles(h *hdrhistogram.Histogram) string {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", q(50), q(95), q(99))
}
