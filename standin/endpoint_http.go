package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxRequestBytes bounds the body of a request to the stand-in.
const maxRequestBytes = 16 << 20

// streamHeader names the request for resume and cancel.
const streamHeader = "Stream-Id"

type requestKey struct{}

// orderState is an order in the form of POST and GET /v1/orders.
type orderState struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// serviceAnswer is what a plain service answers.
type serviceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Digest is the SHA-256 of the body in hexadecimal, Runs how often that body
	// has run.
	Digest string `json:"digest"`
	Runs   int    `json:"runs"`
}

// guard numbers the requests and keeps those silent that a fault silences.
func (e *Endpoint) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.requests++
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, e.requests))
		e.mu.Unlock()
		e.hush(r)
		next.ServeHTTP(w, r)
	})
}

// hush ends the handler without an answer when the request's connection is
// silent, after the caller is gone.
func (e *Endpoint) hush(r *http.Request) {
	if !e.silent(r) {
		return
	}
	// The server notices that the caller is gone only once the body was read.
	io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes)) //nolint:errcheck // the caller is not answered
	select {
	case <-r.Context().Done():
	case <-e.tasks.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) silent(r *http.Request) bool {
	connection, numbered := r.Context().Value(connectionKey{}).(uint64)
	request, _ := r.Context().Value(requestKey{}).(uint64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Silence == SilenceAll {
		return true
	}
	if numbered {
		return connection <= e.silentConnections
	}
	return request <= e.silentRequests
}

func (e *Endpoint) reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data) //nolint:errcheck // the caller is gone
}

func (e *Endpoint) fail(w http.ResponseWriter, status int, message string) {
	e.reply(w, status, map[string]any{
		"error": map[string]any{"message": message, "type": "invalid_request_error", "code": status},
	})
}

func (e *Endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.reply(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock.Now()
	at := now.Add(-e.options.LoadLag)
	reading := e.loads[0]
	for _, l := range e.loads {
		if l.at.After(at) {
			break
		}
		reading = l
	}
	e.mu.Unlock()
	if reading.at.After(at) {
		at = reading.at
	}
	e.reply(w, http.StatusOK, map[string]int64{
		"running": int64(reading.running),
		"waiting": int64(reading.waiting),
		"age":     now.Sub(at).Milliseconds(),
	})
}

func (e *Endpoint) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	names := append([]string{e.order.Model}, e.order.Adapters...)
	e.mu.Unlock()
	list := make([]map[string]string, 0, len(names))
	for _, n := range names {
		if n == "" {
			continue
		}
		list = append(list, map[string]string{"id": n, "object": "model", "owned_by": "standin"})
	}
	e.reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Endpoint) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := e.position(r)
	if err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	events := e.cache.after(after, e.clock.Now())
	e.mu.Unlock()
	e.reply(w, http.StatusOK, map[string]any{"events": events})
}

func (e *Endpoint) putOrder(w http.ResponseWriter, r *http.Request) {
	var o orderState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.Adapters == nil {
		o.Adapters = []string{}
	}
	e.mu.Lock()
	held := e.order.Fence
	old := e.options.Fencing && o.Fence < held
	if !old {
		e.order = o
	}
	e.mu.Unlock()
	if old {
		e.reply(w, http.StatusConflict, map[string]uint64{"held": held})
		return
	}
	e.reply(w, http.StatusOK, o)
}

func (e *Endpoint) getOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	o := e.order
	e.mu.Unlock()
	e.reply(w, http.StatusOK, o)
}

// service answers any request as a plain service.
func (e *Endpoint) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		e.fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	e.mu.Lock()
	if e.refused() {
		e.mu.Unlock()
		e.fail(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	runs := e.started(r.Header.Get(streamHeader), body)
	digest := e.report.Runs[len(e.report.Runs)-1].Digest
	marked := e.marked(body)
	d := e.options.Step
	if e.fault.Slow > 0 {
		d = time.Duration(float64(d) * e.fault.Slow)
	}
	e.serve(1)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.serve(-1)
	}()
	if marked {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.clock.Sleep(r.Context(), d) != nil {
		return
	}
	e.hush(r)
	e.reply(w, http.StatusOK, serviceAnswer{Method: r.Method, Path: r.URL.Path, Digest: digest, Runs: runs})
}

// serve changes the number of running calls. The caller holds the lock.
func (e *Endpoint) serve(change int) {
	e.serving += change
	e.noteLoad()
}

// complete starts a completion and answers it streamed or whole.
func (e *Endpoint) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		e.fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	prompt := c.prompt()
	s := &stream{
		id:      r.Header.Get(streamHeader),
		chat:    strings.HasSuffix(r.URL.Path, "/chat/completions"),
		usage:   c.StreamOptions.IncludeUsage,
		model:   c.Model,
		tokens:  generate(prompt, c.limit()),
		hashes:  blockHashes(prompt),
		prompt:  countTokens(prompt),
		readers: 1,
		changed: make(chan struct{}),
	}
	e.mu.Lock()
	if e.order.Model != "" && c.Model != "" && c.Model != e.order.Model && !slices.Contains(e.order.Adapters, c.Model) {
		e.mu.Unlock()
		e.fail(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", c.Model))
		return
	}
	if e.refused() {
		e.mu.Unlock()
		e.fail(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	if s.id == "" {
		s.id = fmt.Sprintf("request-%d", len(e.report.Runs)+1)
	}
	s.marked = e.marked(body)
	e.started(s.id, body)
	e.submit(s)
	e.mu.Unlock()
	defer e.detach(s)
	if c.Stream {
		e.follow(w, r, s, 0)
		return
	}
	e.whole(w, r, s)
}

// resume follows a stream from after an event on a new connection.
func (e *Endpoint) resume(w http.ResponseWriter, r *http.Request) {
	after, err := e.position(r)
	if err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	s, found := e.streams[r.PathValue("id")]
	if found {
		s.readers++
	}
	e.mu.Unlock()
	if !found {
		e.fail(w, http.StatusNotFound, fmt.Sprintf("stream %q does not exist", r.PathValue("id")))
		return
	}
	defer e.detach(s)
	e.follow(w, r, s, int(after))
}

// drop cancels a stream.
func (e *Endpoint) drop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, found := e.streams[r.PathValue("id")]
	if found {
		e.cancel(s)
	}
	e.mu.Unlock()
	if !found {
		e.fail(w, http.StatusNotFound, fmt.Sprintf("stream %q does not exist", r.PathValue("id")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// follow writes the events of s after the first ones until it ends.
func (e *Endpoint) follow(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	for sent := 0; ; {
		e.mu.Lock()
		var events [][]byte
		if after < len(s.events) {
			events = s.events[after:]
		}
		ended, cancelled, changed := s.ended, s.cancelled, s.changed
		cut, lose := e.fault.Cut, e.fault.Lose
		e.mu.Unlock()
		for _, event := range events {
			e.hush(r)
			if cut > 0 && sent == cut {
				w.Write(event[:len(event)/2]) //nolint:errcheck // the connection is cut next
				flush()                       //nolint:errcheck // the connection is cut next
				if lose {
					e.mu.Lock()
					e.cancel(s)
					e.mu.Unlock()
				}
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(event); err != nil {
				return
			}
			after++
			sent++
		}
		if len(events) > 0 && flush() != nil {
			return
		}
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// whole waits for the end of s and answers in one piece.
func (e *Endpoint) whole(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		e.mu.Lock()
		ended, cancelled, changed := s.ended, s.cancelled, s.changed
		e.mu.Unlock()
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	e.hush(r)
	e.reply(w, http.StatusOK, e.wholeAnswer(s))
}

func (e *Endpoint) position(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("parameter after: %w", err)
	}
	return after, nil
}
