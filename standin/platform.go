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

// The kinds of values on the platform, as in the paths of their URLs.
const (
	platformDocument = "document"
	platformVMs      = "vms"
)

// The modes of a PlatformFault.
const (
	// FaultNone answers normally.
	FaultNone = "none"
	// FaultAbsent answers with status 503.
	FaultAbsent = "absent"
	// FaultStale serves an older generation at once, even to a reader that has a
	// newer one.
	FaultStale = "stale"
	// FaultLate delays each answer.
	FaultLate = "late"
)

const (
	// platformMaxBytes is the maximum size of a value.
	platformMaxBytes = 1 << 20
	// platformReadsPerSecond is the default limit on reads.
	platformReadsPerSecond = 2000
	// platformMaxWait is the maximum duration of one long poll.
	platformMaxWait = time.Minute
	// platformHistory is the number of latest values kept for FaultStale.
	platformHistory = 64
)

// PlatformOptions are the settings of a Platform.
type PlatformOptions struct {
	// Clock is required.
	Clock damasktrail.Clock
	// Rate is the limit in reads per second over all readers, 2,000 when zero.
	Rate int
}

// PlatformFault is the body of PUT /control/fault.
type PlatformFault struct {
	// Mode is one of the Fault constants.
	Mode string `json:"mode"`
	// Delay is the delay of FaultLate, a duration with a unit.
	Delay string `json:"delay,omitempty"`
	// Generation is the highest generation of a document that FaultStale serves.
	// Zero means that of the newest document when the fault began. The VM list
	// served is always the newest one when the fault began.
	Generation uint64 `json:"generation,omitempty"`
}

// PlatformCounts is the answer of GET /control/counts: reads since the start.
type PlatformCounts struct {
	// Document and VMs count all reads by kind, refused ones included.
	Document uint64 `json:"document"`
	VMs      uint64 `json:"vms"`
	// Served counts answers with a value, Unchanged those with status 304.
	Served    uint64 `json:"served"`
	Unchanged uint64 `json:"unchanged"`
	// Refused counts reads above the read rate, Absent those answered with status
	// 503 because of FaultAbsent or because the value was never published.
	Refused uint64 `json:"refused"`
	Absent  uint64 `json:"absent"`
	// Bytes is the total size of served values, after compression.
	Bytes uint64 `json:"bytes"`
	// Waiting is the number of reads open now, and Peak its highest value.
	Waiting int `json:"waiting"`
	Peak    int `json:"peak"`
}

// published is one value, uncompressed and compressed.
type published struct {
	version        uint64
	plain, gzipped []byte
}

// topic holds the published values of one kind.
type topic struct {
	// values is in the order of publication; the last is the newest.
	values []published
	// publishedAtFault is the value of published when the fault began.
	publishedAtFault int
	// published counts the publications.
	published int
}

// Platform is a configuration service that is read and watched over HTTP. Only its
// control handler and its methods write to it. It is safe for use by several
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
	// tokens is the level of a token bucket, in reads, as of refilledAt. The bucket
	// holds at most rate.
	tokens     float64
	refilledAt time.Time
}

// NewPlatform returns a platform without published values.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Rate == 0 {
		o.Rate = platformReadsPerSecond
	}
	return &Platform{
		clock:      o.Clock,
		rate:       float64(o.Rate),
		topics:     map[string]*topic{platformDocument: {}, platformVMs: {}},
		fault:      PlatformFault{Mode: FaultNone},
		changed:    make(chan struct{}),
		tokens:     float64(o.Rate),
		refilledAt: o.Clock.Now(),
	}
}

// Handler returns the handler for readers: GET /v1/document and GET /v1/vms.
func (p *Platform) Handler() http.Handler {
	res := http.NewServeMux()
	for _, kind := range []string{platformDocument, platformVMs} {
		res.HandleFunc("GET /v1/"+kind, func(w http.ResponseWriter, r *http.Request) { p.read(w, r, kind) })
	}
	return res
}

// Control returns the handler for tests: PUT /control/document, PUT /control/vms,
// PUT /control/fault and GET /control/counts.
func (p *Platform) Control() http.Handler {
	res := http.NewServeMux()
	for _, kind := range []string{platformDocument, platformVMs} {
		res.HandleFunc("PUT /control/"+kind, func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(io.LimitReader(r.Body, platformMaxBytes+1))
			if err == nil {
				err = p.publish(kind, data)
			}
			replyControl(w, err)
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
		replyControl(w, err)
	})
	res.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
	return res
}

func replyControl(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// PublishDocument makes data the newest document. It reads only the field
// generation, so that an invalid, older or conflicting document can be published.
func (p *Platform) PublishDocument(data []byte) error {
	return p.publish(platformDocument, data)
}

// PublishVMs makes data the newest VM list. It reads only the field version.
func (p *Platform) PublishVMs(data []byte) error {
	return p.publish(platformVMs, data)
}

func (p *Platform) publish(kind string, data []byte) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("publish %s: %w", kind, err)
		}
	}()
	if len(data) > platformMaxBytes {
		return fmt.Errorf("value exceeds the limit of %d bytes", platformMaxBytes)
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
	var gzipped bytes.Buffer
	z := gzip.NewWriter(&gzipped)
	_, _ = z.Write(data) // Writing to a bytes.Buffer cannot fail.
	_ = z.Close()
	value.gzipped = gzipped.Bytes()

	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[kind]
	t.values = append(t.values, value)
	t.published++
	if len(t.values) > platformHistory {
		t.values = t.values[1:]
	}
	p.notify()
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
		t.publishedAtFault = t.published
	}
	p.notify()
	return nil
}

// Counts returns the counts of reads since the start.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// notify wakes all waiting reads. The caller holds mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// beginRead counts a read and reports whether the read rate allows it.
func (p *Platform) beginRead(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == platformDocument {
		p.counts.Document++
	} else {
		p.counts.VMs++
	}
	now := p.clock.Now()
	p.tokens = min(p.rate, p.tokens+p.rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	if p.tokens < 1 {
		p.counts.Refused++
		return false
	}
	p.tokens--
	p.counts.Waiting++
	p.counts.Peak = max(p.counts.Peak, p.counts.Waiting)
	return true
}

func (p *Platform) endRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting--
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, kind string) {
	after, wait, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.beginRead(kind) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "read rate is exceeded", http.StatusTooManyRequests)
		return
	}
	defer p.endRead()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		value, status, delay, changed := p.lookup(kind, after)
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

// parseQuery parses the query parameters of a read.
func parseQuery(r *http.Request) (after uint64, wait time.Duration, err error) {
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

// lookup returns the answer to a read at this moment. Status 304 means that nothing
// is new to the reader, which may wait until changed is closed.
func (p *Platform) lookup(kind string, after uint64) (res published, status int, delay time.Duration, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[kind]
	values := t.values
	if p.fault.Mode == FaultStale {
		values = values[:max(0, len(values)-(t.published-t.publishedAtFault))]
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
	// A stale replica with the same version as the reader has nothing new.
	if res.version > after || p.fault.Mode == FaultStale && res.version < after {
		return res, http.StatusOK, p.delay, p.changed
	}
	return published{}, http.StatusNotModified, p.delay, p.changed
}

func (p *Platform) answer(w http.ResponseWriter, r *http.Request, status int, value published) {
	data, compressed := value.plain, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
	if compressed {
		data = value.gzipped
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
