package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/group"
	"damasktrail.dev/internal/response"
)

const (
	roleEntry = "entry"
	roleAgent = "agent"

	// maxStatusBytes limits the size of an answer. An entry lists about 271 agents
	// of about 300 bytes each.
	maxStatusBytes = 4 << 20
	// noContactAge is the age of platform contact from which a process counts as
	// never in contact: without any contact, the age is counted from 1970.
	noContactAge = 20 * 365 * 24 * time.Hour
)

// errBehind makes a command exit with exitNegative and no error message.
var errBehind = errors.New("processes are unreachable or lag")

// status implements the status command, which shows the state of entries and agents.
type status struct {
	JSON    bool          `long:"json" description:"print JSON instead of a table"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"longest wait for each process"`
	Args    struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1"`
	} `positional-args:"yes" required:"yes"`
	out, errOut io.Writer
}

// process is the state of one process as it reports it.
type process struct {
	Address    string `json:"address"`
	Name       string `json:"name,omitempty"`
	Role       string `json:"role,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Members is the version of the VM list. Only entries report it.
	Members uint64 `json:"members,omitempty"`
	// State is live, leaving, unhealthy or unreachable. An entry is unhealthy when
	// it has no live agent, an agent when it admits no requests.
	State string `json:"state"`
	// Open is the number of open requests of an entry or of requests running at
	// an agent.
	Open int `json:"open"`
	// Contact is the age of the latest contact with the platform in milliseconds.
	// It is nil before the first contact, and for agents.
	Contact *int64 `json:"contact,omitempty"`
	// Problem says why the process is unreachable.
	Problem string `json:"problem,omitempty"`
}

// answer holds the fields of the status of entries and agents that are shown.
type answer struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`

	// Set is empty at entries.
	Set     string           `json:"set"`
	Leaving bool             `json:"leaving"`
	Load    damasktrail.Load `json:"load"`

	Members uint64 `json:"members"`
	Contact int64  `json:"contact"`
	Open    int    `json:"open"`
	Agents  []struct {
		State string `json:"state"`
	} `json:"agents"`
}

// statusError reports that an answer is not the status of a process.
type statusError struct {
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return e.message
}

// Execute implements flags.Commander. After printing, it returns errBehind if a
// process is unreachable or behind the highest generation.
func (s *status) Execute(rest []string) error {
	if err := noArgs(rest); err != nil {
		return err
	}
	if s.Timeout <= 0 {
		return &usageError{message: "timeout must be above zero"}
	}
	list := make([]process, len(s.Args.Addresses))
	// The client uses no proxy, because it connects to the processes directly.
	client := &http.Client{Transport: response.NewTransport(&http.Transport{DisableKeepAlives: true})}
	tasks := group.New(context.Background())
	for i, address := range s.Args.Addresses {
		tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, s.Timeout)
			defer cancel()
			a, err := readStatus(ctx, client, address)
			if err != nil {
				list[i] = process{Address: address, State: "unreachable", Problem: err.Error()}
				return
			}
			list[i] = a.process(address)
		})
	}
	tasks.Wait()
	highest := uint64(0)
	for _, p := range list {
		highest = max(highest, p.Generation)
	}
	behind, unreachable := []string{}, false
	for _, p := range list {
		switch {
		case p.Problem != "":
			unreachable = true
		case p.Generation < highest:
			behind = append(behind, p.Name)
		}
	}
	if err := s.print(list, highest, behind); err != nil {
		return err
	}
	if unreachable || len(behind) > 0 {
		return errBehind
	}
	return nil
}

// readStatus reads the status of one process.
func readStatus(ctx context.Context, client *http.Client, address string) (res answer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read status: %w", err)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", http.NoBody)
	if err != nil {
		return answer{}, err
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer{}, &statusError{message: "status code is " + response.Status}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&res); err != nil {
		return answer{}, err
	}
	if res.Name == "" {
		return answer{}, &statusError{message: "answer has no name of a process"}
	}
	return res, nil
}

func (a answer) process(address string) process {
	res := process{Address: address, Name: a.Name, Generation: a.Generation, State: "live"}
	if a.Set != "" {
		res.Role, res.Open = roleAgent, a.Load.Running
		switch {
		case a.Leaving:
			res.State = "leaving"
		case a.Load.Limit == 0:
			res.State = "unhealthy"
		}
		return res
	}
	res.Role, res.Open, res.Members = roleEntry, a.Open, a.Members
	if time.Duration(a.Contact)*time.Millisecond < noContactAge {
		res.Contact = &a.Contact
	}
	res.State = "unhealthy"
	for _, agent := range a.Agents {
		if agent.State == "live" {
			res.State = "live"
		}
	}
	return res
}

func (s *status) print(list []process, highest uint64, behind []string) error {
	if s.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			Generation uint64    `json:"generation"`
			Behind     []string  `json:"behind"`
			Processes  []process `json:"processes"`
		}{highest, behind, list})
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tROLE\tGENERATION\tMEMBERS\tSTATE\tOPEN\tCONTACT")
	for _, p := range list {
		if p.Problem != "" {
			_, _ = fmt.Fprintf(w, "%s\t-\t-\t-\t%s\t-\t-\n", p.Address, p.State)
			_, _ = fmt.Fprintf(s.errOut, "%s: %s\n", p.Address, p.Problem)
			continue
		}
		members, contact := "-", "-"
		if p.Role == roleEntry {
			members, contact = strconv.FormatUint(p.Members, 10), "never"
			if p.Contact != nil {
				contact = (time.Duration(*p.Contact) * time.Millisecond).String()
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%s\n", p.Name, p.Role, p.Generation, members, p.State, p.Open, contact)
	}
	if len(behind) > 0 {
		_, _ = fmt.Fprintf(w, "behind generation %d: %s\n", highest, strings.Join(behind, ", "))
	} else {
		_, _ = fmt.Fprintf(w, "none behind generation %d\n", highest)
	}
	return w.Flush()
}
