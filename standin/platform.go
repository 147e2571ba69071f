// Package standin has small servers that speak the protocols of the outside
// systems, with faults on request. They are for tests and trials and no part
// of the product. Start from [NewPlatform].
package standin

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"damasktrail.dev"
)

// The kinds of values of the platform, as their paths name them.
const (
	platformDocument = "document"
	platformVMs      = "vms"
)

// The modes of a PlatformFault.
const (
	// FaultNone answers normally.
	FaultNone = "none"
	// FaultAbsent answers 503.
	FaultAbsent = "absent"
	// FaultStale serves an older generation at once, whatever the reader has.
	FaultStale = "stale"
	// FaultLate delays each answer.
	FaultLate = "late"
)

const (
	// platformMaxSize is the largest value in bytes.
	platformMaxSize = 1 << 20
	// platformRate is the platform's limit in reads per second.
	platformRate = 2000
	// platformMaxWait bounds the wait of one watch.
	platformMaxWait = time.Minute
	// platformHistory is the number of older values kept for FaultStale.
	platformHistory = 64
)

// PlatformOptions are the settings of a Platform.
type PlatformOptions struct {
	// Clock is needed.
	Clock damasktrail.Clock
	// Rate is the limit in reads per second over all readers, 2,000 when zero.
	Rate int
}

// PlatformFault is the body of PUT /control/fault.
type PlatformFault struct {
	// Mode is one of the Fault constants.
	Mode string `json:"mode"`
	// Delay is a duration with a unit, for FaultLate.
	Delay string `json:"delay,omitempty"`
	// Generation bounds the document that FaultStale serves. Zero means the one
	// that was newest when the fault began, as for the VM list.
	Generation uint64 `json:"generation,omitempty"`
}

// PlatformCounts is the answer of GET /control/counts: reads since the start.
type PlatformCounts struct {
	// Document and VMs count all reads by kind, refused ones included.
	Document uint64 `json:"document"`
	VMs      uint64 `json:"vms"`
	// Served counts answers with a value and Unchanged those without news.
	Served    uint64 `json:"served"`
	Unchanged uint64 `json:"unchanged"`
	// Refused counts answers above the read rate, Absent those of FaultAbsent
	// and of values that were never published.
	Refused uint64 `json:"refused"`
	Absent  uint64 `json:"absent"`
	// Bytes counts the bytes of served values, after compression.
	Bytes uint64 `json:"bytes"`
	// Waiting is the number of reads open now, and Peak its highest value.
	Waiting int `json:"waiting"`
	Peak    int `json:"peak"`
}

// published is one value with its compressed form.
type published struct {
	version      uint64
	plain, small []byte
}

// topic is one kind of value.
type topic struct {
	// values is in the order of publication; the last is the newest.
	values []published
	// frozen is the number of publications when the fault began.
	frozen int
	// published counts the publications.
	published int
}

// Platform is a configuration service that is read and watched over HTTP, and
// written through its control handler only. It is safe for use by several
// goroutines.
type Platform struct {
	clock damasktrail.Clock
	rate  float64

	mu     sync.Mutex
	topics map[string]*topic
	fault  PlatformFault
	delay  time.Duration
	counts PlatformCounts
	// changed is closed and replaced at each publication and each new fault.
	changed chan struct{}
	// tokens are the reads allowed now, filled up to rate at the time filled.
	tokens float64
	filled time.Time
}

// NewPlatform returns a platform on which nothing is published.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Rate == 0 {
		o.Rate = platformRate
	}
	return &Platform{
		clock:   o.Clock,
		rate:    float64(o.Rate),
		topics:  map[string]*topic{platformDocument: {}, platformVMs: {}},
		fault:   PlatformFault{Mode: FaultNone},
		changed: make(chan struct{}),
		tokens:  float64(o.Rate),
		filled:  o.Clock.Now(),
	}
}

// Handler serves readers: GET /v1/document and GET /v1/vms.
func (p *Platform) Handler() http.Handler {
	res := http.NewServeMux()
	for _, kind := range []string{platformDocument, platformVMs} {
		res.HandleFunc("GET /v1/"+kind, func(w http.ResponseWriter, r *http.Request) { p.read(w, r, kind) })
	}
	return res
}

// Control serves tests: PUT /control/document, PUT /control/vms, PUT
// /control/fault, GET /control/counts.
func (p *Platform) Control() http.Handler {
	res := http.NewServeMux()
	for _, kind := range []string{platformDocument, platformVMs} {
		res.HandleFunc("PUT /control/"+kind, func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(io.LimitReader(r.Body, platformMaxSize+1))
			if err == nil {
				err = p.publish(kind, data)
			}
			control(w, err)
		})
	}
	res.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault PlatformFault
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&fault)
		if err == nil {
			err = p.SetFault(fault)
		}
		control(w, err)
	})
	res.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
	return res
}

func control(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// PublishDocument makes data the newest document. It only reads the field
// generation, so that an invalid, older or conflicting document can be published.
func (p *Platform) PublishDocument(data []byte) error {
	return p.publish(platformDocument, data)
}

// PublishVMs makes data the newest VM list. It only reads the field version.
func (p *Platform) PublishVMs(data []byte) error {
	return p.publish(platformVMs, data)
}

func (p *Platform) publish(kind string, data []byte) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("publish %s: %w", kind, err)
		}
	}()
	if len(data) > platformMaxSize {
		return fmt.Errorf("value exceeds the limit of %d bytes", platformMaxSize)
	}
	var head struct{ Generation, Version uint64 }
	if err := json.Unmarshal(data, &head); err != nil {
		return err
	}
	value := published{version: head.Generation, plain: bytes.Clone(data)}
	if kind == platformVMs {
		value.version = head.Version
	}
	if value.version == 0 {
		return errors.New("generation or version is absent")
	}
	var small bytes.Buffer
	z := gzip.NewWriter(&small)
	_, _ = z.Write(data) // A buffer accepts all writes.
	_ = z.Close()
	value.small = small.Bytes()

	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[kind]
	t.values = append(t.values, value)
	t.published++
	if len(t.values) > platformHistory {
		t.values = t.values[1:]
	}
	p.announce()
	return nil
}

// SetFault replaces the fault in force.
func (p *Platform) SetFault(f PlatformFault) error {
	var delay time.Duration
	switch f.Mode {
	case FaultNone, FaultAbsent, FaultStale:
	case FaultLate:
		var err error
		if delay, err = time.ParseDuration(f.Delay); err != nil {
			return fmt.Errorf("read the delay of mode late: %w", err)
		}
	default:
		return fmt.Errorf("mode %q is not one of none, absent, stale, late", f.Mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = f, delay
	for _, t := range p.topics {
		t.frozen = t.published
	}
	p.announce()
	return nil
}

// Counts returns the reads since the start.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// announce wakes all watches. The caller holds mu.
func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin counts a read and reports false when it exceeds the rate.
func (p *Platform) begin(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == platformDocument {
		p.counts.Document++
	} else {
		p.counts.VMs++
	}
	now := p.clock.Now()
	p.tokens = min(p.rate, p.tokens+p.rate*now.Sub(p.filled).Seconds())
	p.filled = now
	if p.tokens < 1 {
		p.counts.Refused++
		return false
	}
	p.tokens--
	p.counts.Waiting++
	p.counts.Peak = max(p.counts.Peak, p.counts.Waiting)
	return true
}

func (p *Platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting--
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, kind string) {
	after, wait, err := watch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.begin(kind) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "read rate is exceeded", http.StatusTooManyRequests)
		return
	}
	defer p.end()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		value, status, delay, changed := p.look(kind, after)
		if status == http.StatusNotModified {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		if delay > 0 && p.clock.Sleep(r.Context(), delay) != nil {
			return
		}
		p.answer(w, r, status, value)
		return
	}
}

// watch reads the query of a read.
func watch(r *http.Request) (after uint64, wait time.Duration, err error) {
	if text := r.FormValue("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("read after: %w", err)
		}
	}
	if text := r.FormValue("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, fmt.Errorf("read wait: %w", err)
		}
	}
	return after, min(wait, platformMaxWait), nil
}

// look returns the answer that holds now; the status is 304 while the reader
// has to wait for changed.
func (p *Platform) look(kind string, after uint64) (res published, status int, delay time.Duration, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[kind]
	values := t.values
	if p.fault.Mode == FaultStale {
		values = values[:max(0, len(values)-(t.published-t.frozen))]
		if p.fault.Generation > 0 && kind == platformDocument {
			for len(values) > 0 && values[len(values)-1].version > p.fault.Generation {
				values = values[:len(values)-1]
			}
		}
	}
	if p.fault.Mode == FaultAbsent || len(values) == 0 {
		return published{}, http.StatusServiceUnavailable, 0, p.changed
	}
	res = values[len(values)-1]
	// A stale replica that holds exactly what the reader has has no news.
	if res.version > after || p.fault.Mode == FaultStale && res.version < after {
		return res, http.StatusOK, p.delay, p.changed
	}
	return published{}, http.StatusNotModified, p.delay, p.changed
}

func (p *Platform) answer(w http.ResponseWriter, r *http.Request, status int, value published) {
	data, compressed := value.plain, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
	if compressed {
		data = value.small
	}
	p.mu.Lock()
	switch status {
	case http.StatusOK:
		p.counts.Served++
		p.counts.Bytes += uint64(len(data))
	case http.StatusNotModified:
		p.counts.Unchanged++
	default:
		p.counts.Absent++
	}
	p.mu.Unlock()
	switch status {
	case http.StatusOK:
		h := w.Header()
		h.Set("Content-Type", "application/json")
		h.Set("Vary", "Accept-Encoding")
		h.Set("Generation", strconv.FormatUint(value.version, 10))
		if compressed {
			h.Set("Content-Encoding", "gzip")
		}
		_, _ = w.Write(data)
	case http.StatusNotModified:
		w.WriteHeader(status)
	default:
		http.Error(w, "value is absent", status)
	}
}
