package standin

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// The kinds of endpoints.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// crashExitStatus is the exit status of a process that an injected fault terminates.
const crashExitStatus = 3

// EndpointOptions are the settings of an [Endpoint]. Zero values select the defaults.
type EndpointOptions struct {
	// Clock provides the time and timers. The default is the system's clock.
	Clock damasktrail.Clock
	// Kind is engine (the default) or service.
	Kind string
	// Model is the model loaded at the start. An endpoint without one serves any
	// model until an order names one.
	Model string
	// PrefillRate is the number of prompt tokens processed per second, shared by
	// all requests in the batch. The default is 8,000.
	PrefillRate float64
	// Step is the duration of a decode step with one request. The default is 10 ms.
	Step time.Duration
	// StepGrowth is added to the duration of a decode step for each further
	// request. The default is a twentieth of Step.
	StepGrowth time.Duration
	// Batch is the number of slots, that is, of requests that run at once. The
	// default is 16.
	Batch int
	// CacheTokens is the capacity of the prefix cache in tokens. The default is
	// 65,536; a negative value disables the cache.
	CacheTokens int
	// CacheLag is the delay of cache events. The default is 500 ms.
	CacheLag time.Duration
	// CacheGap is the interval of lost cache events: each CacheGap-th event is lost.
	// The default is 16.
	CacheGap uint64
	// Fencing makes the endpoint refuse orders with an old fencing number.
	Fencing bool
	// LoadLag is the age of load reports. The default is 250 ms; with a negative
	// value, reports are current.
	LoadLag time.Duration
	// Linger is how long a stream without a reader can be resumed before it is
	// cancelled. The default is 2 s.
	Linger time.Duration
	// Crash is called once when a fault ends the process. The default exits with
	// status 3. The endpoint generates nothing more afterwards. Crash must not call
	// Close, which waits for the goroutine that calls Crash.
	Crash func()
}

// withDefaults returns a copy with defaults in place of zero values.
func (o EndpointOptions) withDefaults() EndpointOptions {
	o.Kind = cmp.Or(o.Kind, KindEngine)
	o.PrefillRate = cmp.Or(o.PrefillRate, 8000)
	o.Step = cmp.Or(o.Step, 10*time.Millisecond)
	o.StepGrowth = cmp.Or(o.StepGrowth, o.Step/20)
	o.Batch = cmp.Or(o.Batch, 16)
	o.CacheTokens = max(0, cmp.Or(o.CacheTokens, 65536))
	o.CacheLag = cmp.Or(o.CacheLag, 500*time.Millisecond)
	o.CacheGap = cmp.Or(o.CacheGap, 16)
	o.LoadLag = max(0, cmp.Or(o.LoadLag, 250*time.Millisecond))
	o.Linger = cmp.Or(o.Linger, 2*time.Second)
	if o.Crash == nil {
		o.Crash = func() { os.Exit(crashExitStatus) }
	}
	return o
}

// Endpoint is a stand-in for a model engine or a plain service. It is safe for
// use by several goroutines. It simulates continuous batching: a request waits
// first in, first out for a slot in the batch, has its prompt prefilled except
// for the cached prefix, and then receives one token per step.
type Endpoint struct {
	options EndpointOptions
	clock   damasktrail.Clock
	tasks   *group.Group

	mu sync.Mutex
	// streams holds the requests that can be resumed, by Stream-Id.
	streams map[string]*stream
	// waiting holds requests in order of arrival; running holds at most Batch.
	waiting, running []*stream
	// serving is the number of running requests of a plain service.
	serving int
	// stepping is true while a goroutine runs the batch.
	stepping bool
	cache    *prefixCache
	// loadHistory holds past load samples, oldest first. The first one is at least
	// LoadLag old, or the initial one.
	loadHistory []loadSample
	order       orderState
	fault       EndpointFault
	// silentConnections is the connection number up to which connections are
	// silent, silentRequests the request number up to which requests without a
	// connection number are.
	silentConnections, silentRequests uint64
	connections, requests             uint64
	// refusalCredit grows by the refused share with each request. When it reaches
	// 1, a request is refused and it falls by 1.
	refusalCredit float64
	crashed       bool
	report        RunReport
	runsByDigest  map[string]int
}

type connectionNumberKey struct{}

// NewEndpoint returns an endpoint that is ready to serve. Call Close to end the
// requests in it.
func NewEndpoint(options EndpointOptions) *Endpoint {
	options = options.withDefaults()
	tasks := group.New(context.Background())
	if options.Clock == nil {
		options.Clock = timer.New(tasks)
	}
	return &Endpoint{
		options:      options,
		clock:        options.Clock,
		tasks:        tasks,
		streams:      map[string]*stream{},
		cache:        newPrefixCache(options.CacheTokens, options.CacheLag, options.CacheGap),
		loadHistory:  []loadSample{{at: options.Clock.Now()}},
		order:        orderState{Model: options.Model, Adapters: []string{}, Role: "both"},
		runsByDigest: map[string]int{},
	}
}

// Close cancels all requests and waits for the batch to stop.
func (e *Endpoint) Close() {
	e.mu.Lock()
	for _, s := range e.streams {
		e.cancel(s)
	}
	e.mu.Unlock()
	e.tasks.Close()
}

// ConnContext numbers connections; set it as [http.Server.ConnContext]. Without
// it, the fault SilenceOpen affects only the requests that are open.
func (e *Endpoint) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connections++
	return context.WithValue(ctx, connectionNumberKey{}, e.connections)
}

// Handler returns the handler of the endpoint's own protocol.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("GET /v1/load", e.load)
	if e.options.Kind == KindService {
		mux.HandleFunc("/", e.service)
	} else {
		mux.HandleFunc("POST /v1/chat/completions", e.complete)
		mux.HandleFunc("POST /v1/completions", e.complete)
		mux.HandleFunc("GET /v1/models", e.models)
		mux.HandleFunc("GET /v1/streams/{id}", e.resume)
		mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
		mux.HandleFunc("GET /v1/cache", e.cacheEvents)
		mux.HandleFunc("POST /v1/orders", e.putOrder)
		mux.HandleFunc("GET /v1/orders", e.getOrder)
	}
	return e.injectSilence(mux)
}
