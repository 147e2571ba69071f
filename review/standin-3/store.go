package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. It answers reads and watches at once and
// correctly, except on channels that have gone silent.
type store struct {
	world  *world
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// changed is closed at the next change.
	changed chan struct{}
	// silentBefore is the time before which channels were opened that return nothing any more.
	silentBefore time.Time
	// watches counts the watches of each prefix, watchBegan has the time of the last one.
	watches    map[string]int
	watchBegan map[string]time.Time
}

type acceptedKey struct{}

func newStore(w *world) *store {
	s := &store{world: w, revision: 100, items: map[string]item{}, changed: make(chan struct{}), watches: map[string]int{}, watchBegan: map[string]time.Time{}}
	l := w.listen(w.ip(0))
	s.addr = l.Addr().String()
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedKey{}, time.Now())
		},
	}
	w.tasks.Go(func() { _ = s.server.Serve(l) })
	return s
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.revision}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

// record adds an event and wakes the watches. It is called with mu held.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes all channels that are open now silent for good. New ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = time.Now()
}

// lastWatch returns how many watches of a prefix have begun and when the last one did.
func (s *store) lastWatch(prefix string) (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[prefix], s.watchBegan[prefix]
}

func (s *store) isSilent(r *http.Request) bool {
	accepted, _ := r.Context().Value(acceptedKey{}).(time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	return accepted.Before(s.silentBefore)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	var status int
	var body any
	switch r.URL.Path {
	case wire["get_key"]:
		status, body = s.key(r.URL.Query().Get("key"))
	case wire["get_range"]:
		status, body = http.StatusOK, s.list(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	case wire["get_watch"]:
		status, body = s.watch(r)
	default:
		status = http.StatusNotFound
	}
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[key]
	if !found {
		return http.StatusNotFound, map[string]any{"as_of": s.revision}
	}
	return http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.revision}
}

func (s *store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return map[string]any{"entries": entries, "has_more": false, "as_of": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.watches[prefix]++
	s.watchBegan[prefix] = time.Now()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as_of": asOf}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "as_of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}
