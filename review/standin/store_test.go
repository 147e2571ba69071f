package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the end of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 411, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	it := item{Key: key, Value: b, Revision: s.revision, Created: created}
	s.items[key] = it
	s.publish(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mu.Lock()
	res := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > r.URL.Query().Get("after") {
			res = append(res, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(res, func(i, j int) bool { return res[i].Key < res[j].Key })
	reply(w, map[string]any{"entries": res, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		res := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				res = append(res, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(res) > 0 {
			reply(w, map[string]any{"events": res, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-expired:
			reply(w, map[string]any{"events": res, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
