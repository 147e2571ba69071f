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

// The kinds of endpoint.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// crashStatus is the exit status of a process that a fault ends.
const crashStatus = 3

// EndpointOptions are the settings of an [Endpoint]. Zero values mean the defaults.
type EndpointOptions struct {
	// Clock is the timer service. The default is the system's clock.
	Clock damasktrail.Clock
	// Kind is engine (the default) or service.
	Kind string
	// Model is the model held at the start. An endpoint without one answers for
	// any model until an order names one.
	Model string
	// PrefillRate is the number of prompt tokens processed per second, shared by
	// all requests in the batch. The default is 8,000.
	PrefillRate float64
	// Step is the time of a decode step with one request. The default is 10 ms.
	Step time.Duration
	// StepGrowth is added to a decode step for each further request. The default
	// is a twentieth of Step.
	StepGrowth time.Duration
	// Batch is the number of requests that run at once. The default is 16.
	Batch int
	// Cache is the memory of the prefix cache in tokens. The default is 65,536;
	// a negative value disables the cache.
	Cache int
	// CacheLag delays cache events. The default is 500 ms.
	CacheLag time.Duration
	// CacheGap loses every CacheGap-th cache event. The default is 16.
	CacheGap uint64
	// Fencing refuses orders with an old fencing number.
	Fencing bool
	// LoadLag is the age of load reports. The default is 250 ms; a negative value
	// reports without lag.
	LoadLag time.Duration
	// Linger is how long a stream without a reader may be resumed. The default
	// is 2 s.
	Linger time.Duration
	// Crash is called once when a fault ends the process. The default exits with
	// status 3. The endpoint generates nothing more afterwards. It must not call
	// Close, which waits for the goroutine that calls it.
	Crash func()
}

// withDefaults returns a copy with defaults in place of zero values.
func (o EndpointOptions) withDefaults() EndpointOptions {
	o.Kind = cmp.Or(o.Kind, KindEngine)
	o.PrefillRate = cmp.Or(o.PrefillRate, 8000)
	o.Step = cmp.Or(o.Step, 10*time.Millisecond)
	o.StepGrowth = cmp.Or(o.StepGrowth, o.Step/20)
	o.Batch = cmp.Or(o.Batch, 16)
	o.Cache = max(0, cmp.Or(o.Cache, 65536))
	o.CacheLag = cmp.Or(o.CacheLag, 500*time.Millisecond)
	o.CacheGap = cmp.Or(o.CacheGap, 16)
	o.LoadLag = max(0, cmp.Or(o.LoadLag, 250*time.Millisecond))
	o.Linger = cmp.Or(o.Linger, 2*time.Second)
	if o.Crash == nil {
		o.Crash = func() { os.Exit(crashStatus) }
	}
	return o
}

// Endpoint is a stand-in for a model engine or a plain service. It is safe for
// use by several goroutines. It simulates continuous batching: a request waits
// first in, first out for a place in the batch, has its prompt prefilled except
// for the cached prefix, and then receives one token per step.
type Endpoint struct {
	options EndpointOptions
	clock   damasktrail.Clock
	tasks   *group.Group

	mu sync.Mutex
	// streams holds the requests that can be resumed, by Stream-Id.
	streams map[string]*stream
	// waiting holds requests in order of arrival; running has at most Batch.
	waiting, running []*stream
	// serving counts the running calls of a plain service.
	serving int
	// stepping is true while a goroutine runs the batch.
	stepping bool
	cache    *prefixCache
	// loads are past counts, oldest first; the first one is at or before the lag.
	loads []loadReading
	order orderState
	fault EndpointFault
	// silentBefore is the connection and the request number up to which
	// connections and requests without a connection number are silent.
	silentConnections, silentRequests uint64
	connections, requests             uint64
	// refusals accumulates the refused share; a request is refused at 1.
	refusals float64
	crashed  bool
	report   RunReport
	counts   map[string]int
}

type connectionKey struct{}

// NewEndpoint returns an endpoint that is ready to serve. Call Close to end the
// requests in it.
func NewEndpoint(options EndpointOptions) *Endpoint {
	options = options.withDefaults()
	tasks := group.New(context.Background())
	if options.Clock == nil {
		options.Clock = timer.New(tasks)
	}
	return &Endpoint{
		options: options,
		clock:   options.Clock,
		tasks:   tasks,
		streams: map[string]*stream{},
		cache:   newPrefixCache(options.Cache, options.CacheLag, options.CacheGap),
		loads:   []loadReading{{at: options.Clock.Now()}},
		order:   orderState{Model: options.Model, Adapters: []string{}, Role: "both"},
		counts:  map[string]int{},
	}
}

// Close ends all requests and waits for the batch to stop.
func (e *Endpoint) Close() {
	e.mu.Lock()
	for _, s := range e.streams {
		e.cancel(s)
	}
	e.mu.Unlock()
	e.tasks.Close()
}

// ConnContext numbers connections; set it as [http.Server.ConnContext]. Without
// it, a silence of open connections affects open requests only.
func (e *Endpoint) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connections++
	return context.WithValue(ctx, connectionKey{}, e.connections)
}

// Handler serves the endpoint's own protocol.
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
		mux.HandleFunc("DELETE /v1/streams/{id}", e.drop)
		mux.HandleFunc("GET /v1/cache", e.cacheEvents)
		mux.HandleFunc("POST /v1/orders", e.putOrder)
		mux.HandleFunc("GET /v1/orders", e.getOrder)
	}
	return e.guard(mux)
}
