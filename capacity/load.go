package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damasktrail.dev/group"
	"damasktrail.dev/member"
)

// Path is an entry with agents in front of endpoints, to be compared with direct
// requests to the same endpoints.
type Path struct {
	*Site
	Entry     Program
	Agents    []Program
	Endpoints []Program
	client    *http.Client
}

// NewPath starts an entry and the given number of endpoints with one agent each.
// A decode step of one request takes the time step.
func (s *Site) NewPath(endpoints int, step time.Duration) (res *Path, err error) {
	entryAddresses, err := freeAddresses("udp")
	if err != nil {
		return nil, err
	}
	self := member.VM{Name: fmt.Sprintf("path-entry-%d", endpoints), Role: member.RoleEntry, Address: entryAddresses[0], Domain: HomeDomain}
	res = &Path{Site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	vms := []member.VM{self}
	for i := range endpoints {
		agentAddresses, err := freeAddresses("udp")
		if err != nil {
			return nil, err
		}
		vm := member.VM{
			Name: fmt.Sprintf("path-agent-%d-%d", endpoints, i), Role: member.RoleAgent, Address: agentAddresses[0], Domain: HomeDomain, Set: setName(0),
		}
		e, err := s.Endpoint(fmt.Sprintf("path-endpoint-%d-%d", endpoints, i), step)
		if err != nil {
			return nil, err
		}
		a, err := s.Agent(vm, e.Address)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
		res.Agents, res.Endpoints = append(res.Agents, a), append(res.Endpoints, e)
	}
	list, err := member.New(1, vms)
	if err != nil {
		return nil, err
	}
	size := Size{Organisations: 100, Models: 1, Sets: 1}
	if err := errors.Join(s.platform.PublishDocument(size.Document(1).Encode()), s.platform.PublishVMs(list.Encode())); err != nil {
		return nil, err
	}
	if res.Entry, err = s.Entry(self); err != nil {
		return nil, err
	}
	for _, p := range append(res.Agents, res.Entry) {
		if err := s.Ready(p.Admin, "/readyz"); err != nil {
			return nil, fmt.Errorf("%w; log: %s", err, p.Log())
		}
	}
	return res, nil
}

// Stop ends the programs.
func (p *Path) Stop() {
	p.client.CloseIdleConnections()
	for _, x := range append(append(p.Agents, p.Endpoints...), p.Entry) {
		x.Stop()
	}
}

// Result is what a load run measured.
type Result struct {
	Requests, Tokens int
	Elapsed          time.Duration
	// FirstTokenNanos are the times to the first token, TokenIntervalNanos the mean
	// times between tokens of one answer, both in nanoseconds.
	FirstTokenNanos, TokenIntervalNanos []float64
	// EntryCPU and AgentsCPU are the processor times of the entry and of all agents.
	EntryCPU, AgentsCPU time.Duration
}

// Run keeps the given number of streams open for the time d; each sends its next
// request when its answer ends. Answers have 0.5 to 1.5 times the given number of
// tokens: with equal lengths all streams would end in the same decode step and
// send their next requests at once. If direct is set, streams are spread over the
// endpoints without entry and agents.
func (p *Path) Run(streams, tokens int, d time.Duration, direct bool) (res Result, err error) {
	urls := []string{p.Entry.Address}
	if direct {
		urls = urls[:0]
		for _, e := range p.Endpoints {
			urls = append(urls, e.Address)
		}
	}
	ctx, cancel := context.WithTimeout(p.tasks.Context(), waitTimeout)
	defer cancel()
	// The first round has one answer per stream and is not measured; it opens the
	// connections.
	for _, measured := range []bool{false, true} {
		if res, err = p.runStreams(ctx, urls, tokens, streams, d, measured); err != nil {
			return res, err
		}
	}
	return res, nil
}

// runStreams runs streams for the time d, or for one answer each if measured is
// false.
func (p *Path) runStreams(ctx context.Context, urls []string, tokens, streams int, d time.Duration, measured bool) (res Result, err error) {
	var mu sync.Mutex
	entry, agents, err := p.cpu()
	if err != nil {
		return res, err
	}
	start := p.clock.Now()
	tasks := group.New(ctx)
	for i := range streams {
		url := "http://" + urls[i%len(urls)] + "/v1/chat/completions"
		random := rand.New(rand.NewPCG(uint64(i), uint64(streams)))
		tasks.Go(func(ctx context.Context) {
			for {
				a, askErr := p.ask(ctx, url, requestBody(tokens/2+random.IntN(tokens+1)))
				mu.Lock()
				err = errors.Join(err, askErr)
				stop := err != nil
				res.Requests++
				res.Tokens += a.tokens
				res.FirstTokenNanos = append(res.FirstTokenNanos, float64(a.firstToken))
				res.TokenIntervalNanos = append(res.TokenIntervalNanos, float64(a.total-a.firstToken)/float64(max(a.tokens-1, 1)))
				mu.Unlock()
				if stop || !measured || p.clock.Now().Sub(start) >= d {
					return
				}
			}
		})
	}
	tasks.Wait()
	res.Elapsed = p.clock.Now().Sub(start)
	afterEntry, afterAgents, cpuErr := p.cpu()
	res.EntryCPU, res.AgentsCPU = afterEntry-entry, afterAgents-agents
	return res, errors.Join(err, cpuErr)
}

func requestBody(tokens int) []byte {
	res, err := json.Marshal(map[string]any{
		"model": modelName(0), "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": "Assess this portfolio of woven damask."}},
	})
	if err != nil {
		panic(err) // The value holds only strings and numbers.
	}
	return res
}

func (p *Path) cpu() (entry, agents time.Duration, err error) {
	entry, err = p.Entry.CPU()
	for _, a := range p.Agents {
		d, cpuErr := a.CPU()
		agents += d
		err = errors.Join(err, cpuErr)
	}
	return entry, agents, err
}

// answerStats has the number of tokens of an answer, and the times from its request
// to its first token and to its end.
type answerStats struct {
	tokens            int
	firstToken, total time.Duration
}

var (
	errNoDone    = errors.New("the stream ended without [DONE]")
	dataPrefix   = []byte("data: ")
	doneMarker   = []byte("[DONE]")
	contentStart = []byte(`"content":"`)
	emptyContent = []byte(`"content":""`)
)

// ask sends one request and reads its answer. It looks for the text of a token
// without parsing JSON, to leave the processors to the measured programs.
func (p *Path) ask(ctx context.Context, url string, body []byte) (res answerStats, err error) {
	start := p.clock.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return res, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := p.client.Do(r)
	if err != nil {
		return res, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return res, fmt.Errorf("%s answered status %d, reason %q", url, response.StatusCode, response.Header.Get("Damasktrail-Reason"))
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		switch {
		case !found:
		case bytes.Equal(data, doneMarker):
			res.total = p.clock.Now().Sub(start)
			return res, nil
		case bytes.Contains(data, contentStart) && !bytes.Contains(data, emptyContent):
			res.tokens++
			if res.tokens == 1 {
				res.firstToken = p.clock.Now().Sub(start)
			}
		}
	}
	return res, errors.Join(errNoDone, lines.Err())
}
