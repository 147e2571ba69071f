package rig

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/estimate"
	"damasktrail.dev/health"
	"damasktrail.dev/limit"
	"damasktrail.dev/policy"
	"damasktrail.dev/queue"
)

// Arm is one of the configurations that the table compares.
type Arm struct {
	// Policy is the name of the entries' routing policy.
	Policy string
	// Queue makes agents queue and limit requests; otherwise requests wait inside
	// the endpoint.
	Queue bool
}

// String returns the name of the arm in tables.
func (a Arm) String() string {
	if a.Queue {
		return "queue/" + a.Policy
	}
	return "fifo/" + a.Policy
}

// Arms lists the baselines and, last, the product's arm.
var Arms = []Arm{
	{Policy: policy.Round}, {Policy: policy.Least}, {Policy: policy.Choices}, {Policy: policy.Cost, Queue: true},
}

// Deployment is the size of a user's fleet.
type Deployment struct {
	// Name is the name in tables.
	Name string
	// Fast and Slow count the replicas of the model; a slow replica takes twice as
	// long. Services counts plain services.
	Fast, Slow, Services int
}

// Deployments lists the fleets of today's two users.
var Deployments = []Deployment{
	{Name: "jury", Fast: 6, Slow: 4, Services: 3},
	{Name: "diary", Fast: 7, Slow: 5, Services: 3},
}

// serviceSlowdown is the slowdown of a plain service. At 10, calls of the
// services are about a fifth of all requests.
const serviceSlowdown = 10

// serviceSteps is the approximate mean number of steps of a call of a service.
const serviceSteps = 11

// Names of the model and of the plain service.
const (
	model   = "model"
	service = "service"
)

// The mix of requests. Shares are fractions of the number of requests.
var (
	organisations = []organisation{
		{"fair", 0.40, 3, 120}, {"guild", 0.25, 3, 80}, {"press", 0.20, 2, 180}, {"club", 0.10, 1, 100}, {"school", 0.05, 1, 140},
	}
	tierShares    = [3]float64{0.2, 0.5, 0.3}
	tierDeadlines = [3]time.Duration{60 * time.Second, 90 * time.Second, 180 * time.Second}
)

// organisation is an organisation's share of the requests, its weight for fair
// sharing and its median length of answers.
type organisation struct {
	name               string
	share              float64
	weight             float64
	medianOutputTokens float64
}

// Case is a simulated load with its faults. Times count from the start.
type Case struct {
	// Name is the name in tables.
	Name string
	// Duration is how long requests arrive.
	Duration time.Duration
	// Load is the offered load as a share of the fleet's capacity.
	Load func(at time.Duration) float64
	// InjectFaults, unless nil, is called once at the start and schedules faults.
	InjectFaults func(s *simulation)
	// BatchLoad is an additional load of long requests in the lowest tier, as a
	// share of the fleet's capacity.
	BatchLoad float64
	// TopTierOnly leaves out the requests of all tiers but the highest.
	TopTierOnly bool

	// reportDelay is added to the network delay of load reports, and
	// reportLossRatio is the share of reports that are lost.
	reportDelay     time.Duration
	reportLossRatio float64
	// maxResends is how often a caller sends a crashing request again.
	maxResends int
}

// simulation is the state of one run.
type simulation struct {
	loop          *loop
	testCase      Case
	arm           Arm
	random        *rand.Rand
	entries       []*entry
	agents        []*agent
	statistics    *statistics
	lastRequestID int
	resendCount   int
	// recorded, unless nil, receives the requests in place of the entries.
	recorded *[]*request
}

// newSimulation creates the agents, endpoints and entries of a run.
func newSimulation(d Deployment, c Case, arm Arm, seed uint64) *simulation {
	sim := &simulation{
		loop: &loop{now: epoch}, testCase: c, arm: arm,
		random: rand.New(rand.NewPCG(seed, 1)), statistics: newStatistics(),
	}
	shares := make(map[string]float64)
	for _, o := range organisations {
		shares[o.name] = o.weight
	}
	for i := range d.Fast + d.Slow + d.Services {
		a := &agent{
			sim: sim, index: i, name: fmt.Sprint("vm", i), model: model, domain: fmt.Sprint("domain", i%3), hasQueue: arm.Queue,
			endpoint: &endpoint{loop: sim.loop, slowdown: 1}, limit: limit.New(limit.Defaults()),
			queue: queue.New[*attempt](queueLimits), inFlight: make(map[*attempt]struct{}), lastReport: epoch,
		}
		a.queue.SetShares(shares)
		if i >= d.Fast {
			a.endpoint.slowdown = 2
		}
		if i >= d.Fast+d.Slow {
			a.endpoint.slowdown, a.model = serviceSlowdown, service
			a.limit = limit.New(limit.ServiceDefaults())
		}
		sim.agents = append(sim.agents, a)
	}
	for i := range 3 {
		p, err := policy.New(arm.Policy, seed+uint64(i))
		if err != nil {
			panic(err) // All arms name a policy that exists.
		}
		en := &entry{
			sim: sim, byAgent: make(map[*agent]*agentView), policy: p, lengths: estimate.NewLengths(), budget: budget.New(),
			health: map[string]*health.Group{model: health.New(), service: health.New()}, crashCounts: make(map[uint64]int),
		}
		names := map[string][]string{}
		for _, a := range sim.agents {
			v := &agentView{agent: a, reportedAt: epoch, attempts: make(map[*attempt]struct{})}
			v.load.Lowest = -1
			en.views = append(en.views, v)
			en.byAgent[a] = v
			names[a.model] = append(names[a.model], a.name)
		}
		for m, n := range names {
			en.health[m].SetAgents(n)
		}
		sim.entries = append(sim.entries, en)
	}
	for _, a := range sim.agents {
		a.start()
	}
	return sim
}

// Run runs a case and returns its results. Equal arguments give equal results,
// and different arms get the same requests.
func Run(d Deployment, c Case, arm Arm, seed uint64) Report {
	sim := newSimulation(d, c, arm, seed)
	sim.scheduleTraffic(d, seed)
	if c.InjectFaults != nil {
		c.InjectFaults(sim)
	}
	sim.loop.run(epoch.Add(c.Duration + tierDeadlines[2] + time.Second))
	return sim.report(d)
}

// scheduleTraffic schedules all arrivals of the case.
func (s *simulation) scheduleTraffic(d Deployment, seed uint64) {
	engines, services := capacity(d)
	random := rand.New(rand.NewPCG(seed, 2))
	s.scheduleArrivals(rand.New(rand.NewPCG(random.Uint64(), 0)), engines, s.newChatRequest)
	s.scheduleArrivals(rand.New(rand.NewPCG(random.Uint64(), 0)), services, s.newServiceRequest)
	if s.testCase.BatchLoad > 0 {
		s.scheduleBatch(rand.New(rand.NewPCG(random.Uint64(), 0)), engines)
	}
}

// scheduleArrivals schedules a Poisson process at the load of the case.
func (s *simulation) scheduleArrivals(random *rand.Rand, capacity float64, draw func(*rand.Rand) *request) {
	var next func()
	next = func() {
		at := s.loop.now.Sub(epoch)
		if at >= s.testCase.Duration {
			return
		}
		r := draw(random)
		if !s.testCase.TopTierOnly || r.info.Tier == 0 {
			s.deliver(r)
		}
		rate := s.testCase.Load(s.loop.now.Sub(epoch)) * capacity
		s.loop.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.loop.after(0, next)
}

// scheduleBatch schedules long requests at a constant rate.
func (s *simulation) scheduleBatch(random *rand.Rand, capacity float64) {
	const prompt, output = 15000, 600
	// The endpoint time of a mean request.
	mean := requestSeconds(1100, 140)
	every := time.Duration(requestSeconds(prompt, output) / mean / (s.testCase.BatchLoad * capacity) * float64(time.Second))
	for at := time.Duration(0); at < s.testCase.Duration; at += every {
		s.loop.after(at, func() {
			r := s.newRequest(random, organisations[2], model, 2)
			r.promptTokens = 10000 + random.IntN(10001)
			r.outputTokens = output/2 + random.IntN(output)
			r.bodyBytes = r.promptTokens * 4
			if !s.testCase.TopTierOnly {
				s.deliver(r)
			}
		})
	}
}

// requestSeconds returns the endpoint time of a request when 32 answers share
// each step.
func requestSeconds(prompt, output float64) float64 {
	return prompt*prefillTimePerToken.Seconds() + output*(decodeTimePerToken.Seconds()+stepBaseTime.Seconds()/32)
}

// deliver gives a request to one of the entries, or records it.
func (s *simulation) deliver(r *request) {
	s.statistics.recordOffered(r)
	if s.recorded != nil {
		*s.recorded = append(*s.recorded, r)
		return
	}
	s.entries[r.id%len(s.entries)].receive(r)
}

// newRequest returns a request without lengths of prompt and output.
func (s *simulation) newRequest(random *rand.Rand, o organisation, model string, tier int) *request {
	s.lastRequestID++
	now := s.loop.now
	return &request{
		id: s.lastRequestID, arrival: now, deadline: now.Add(tierDeadlines[tier]),
		excluded: make(map[*agent]bool), mayHaveRun: make(map[*agent]bool),
		info: damasktrail.Request{Organisation: o.name, Model: model, Tier: tier, Fingerprint: random.Uint64()},
	}
}

// newChatRequest draws a request to the model.
func (s *simulation) newChatRequest(random *rand.Rand) *request {
	o := organisations[pick(random, func(i int) float64 { return organisations[i].share }, len(organisations))]
	tier := pick(random, func(i int) float64 { return tierShares[i] }, len(tierShares))
	r := s.newRequest(random, o, model, tier)
	r.promptTokens = logNormal(random, 500, 1.3, 20, 20000)
	r.outputTokens = logNormal(random, o.medianOutputTokens, 0.6, 20, 800)
	r.bodyBytes = int(float64(r.promptTokens) * (3.8 + 0.4*random.Float64()))
	return r
}

// newServiceRequest draws a call of a plain service, modelled as a request with
// a short prompt and output.
func (s *simulation) newServiceRequest(random *rand.Rand) *request {
	o := organisations[pick(random, func(i int) float64 { return organisations[i].share }, len(organisations))]
	r := s.newRequest(random, o, service, pick(random, func(i int) float64 { return tierShares[i] }, len(tierShares)))
	r.promptTokens = logNormal(random, 100, 0.5, 20, 500)
	r.outputTokens = logNormal(random, 10, 0.5, 2, 40)
	r.bodyBytes = r.promptTokens * 4
	return r
}

// pick draws an index with the given probabilities, which sum to one.
func pick(random *rand.Rand, share func(int) float64, n int) int {
	x := random.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// logNormal draws a length from a log-normal distribution, clamped to low and
// high.
func logNormal(random *rand.Rand, median, sigma, low, high float64) int {
	return int(min(max(median*math.Exp(sigma*random.NormFloat64()), low), high))
}

// capacity returns the requests per second that the engines and the services
// can answer when every slot is kept full. It does not depend on the arm.
func capacity(d Deployment) (engines, services float64) {
	measure := func(slow float64, draw func(*simulation, *rand.Rand) *request) float64 {
		const length = 200 * time.Second
		sim := &simulation{loop: &loop{now: epoch}}
		random := rand.New(rand.NewPCG(42, 42))
		e := &endpoint{loop: sim.loop, slowdown: slow}
		ended := 0
		var feed func()
		feed = func() {
			r := draw(sim, random)
			e.submit(&job{promptTokens: r.promptTokens, outputTokens: r.outputTokens, onFirst: func() {}, onEnd: func() {
				ended++
				feed()
			}})
		}
		for range slots {
			feed()
		}
		sim.loop.run(epoch.Add(length))
		return float64(ended) / length.Seconds()
	}
	chat := func(s *simulation, r *rand.Rand) *request { return s.newChatRequest(r) }
	call := func(s *simulation, r *rand.Rand) *request { return s.newServiceRequest(r) }
	engines = float64(d.Fast)*measure(1, chat) + float64(d.Slow)*measure(2, chat)
	return engines, float64(d.Services) * measure(serviceSlowdown, call)
}

// isPriorityInversion reports whether a request was shed although a lower tier
// could have made room: a lower-tier request got a slot of the same endpoint
// while this one waited, or one still waits at an agent that could serve this
// one when it is refused as full or by a floor.
func (s *simulation) isPriorityInversion(r *request, reason damasktrail.Reason, t *attempt) bool {
	lower := func(f func(tier int) bool) bool {
		for tier := r.info.Tier + 1; tier < len(tierShares); tier++ {
			if f(tier) {
				return true
			}
		}
		return false
	}
	if reason == damasktrail.ReasonDeadline {
		if t == nil || t.receivedAt.IsZero() || r.streamed || t.job != nil && t.job.started {
			return false
		}
		return lower(func(tier int) bool { return t.agent.endpoint.lastStart[tier].After(t.receivedAt) })
	}
	if reason == damasktrail.ReasonFull || reason == damasktrail.ReasonFloor {
		return slices.ContainsFunc(s.agents, func(a *agent) bool {
			return a.model == r.info.Model && !a.lost && !r.excluded[a] && a.queue.Lowest() > r.info.Tier
		})
	}
	return false
}

// loseDomain makes the agents of a failure domain and their endpoints
// unreachable.
func (s *simulation) loseDomain(domain string) {
	for _, a := range s.agents {
		if a.domain != domain {
			continue
		}
		a.lost = true
		for _, j := range a.endpoint.running {
			a.endpoint.wastedTokens += j.prefilled
			j.ended = true
		}
		a.endpoint.running, a.endpoint.waiting = nil, nil
		a.endpoint.down = true
		a.endpoint.crashes++
		for _, en := range s.entries {
			v := en.byAgent[a]
			s.loop.after(silenceTimeout, func() { en.closeLink(v) })
		}
	}
}

// sendCrashingRequest sends a request that crashes its endpoint.
func (s *simulation) sendCrashingRequest() {
	r := s.newRequest(rand.New(rand.NewPCG(9, 9)), organisations[3], model, 1)
	r.promptTokens, r.outputTokens, r.bodyBytes, r.poison = 800, 100, 3200, true
	s.deliver(r)
}

// resend simulates the caller of a crashing request, who sends it again.
func (s *simulation) resend(old *request) {
	if s.resendCount++; s.resendCount > s.testCase.maxResends {
		return
	}
	s.loop.after(2*time.Second, func() {
		r := s.newRequest(rand.New(rand.NewPCG(9, 9)), organisations[3], model, 1)
		r.promptTokens, r.outputTokens, r.bodyBytes, r.poison = old.promptTokens, old.outputTokens, old.bodyBytes, true
		r.info.Fingerprint = old.info.Fingerprint
		s.deliver(r)
	})
}

// sortAttempts sorts attempts by request, so that runs do not depend on the
// iteration order of maps.
func sortAttempts(ts []*attempt) {
	slices.SortFunc(ts, func(a, b *attempt) int { return cmp.Compare(a.req.id, b.req.id) })
}
