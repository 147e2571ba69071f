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

// Arm is one way to run a fleet.
type Arm struct {
	// Policy is the name of the entries' policy.
	Policy string
	// Queue says that agents queue and limit; otherwise requests wait inside the
	// endpoint.
	Queue bool
}

// String returns the name of the arm in tables.
func (a Arm) String() string {
	if a.Queue {
		return "queue/" + a.Policy
	}
	return "fifo/" + a.Policy
}

// Arms are the baselines and, last, the product's own.
var Arms = []Arm{
	{Policy: policy.Round}, {Policy: policy.Least}, {Policy: policy.Choices}, {Policy: policy.Cost, Queue: true},
}

// Deployment is the size of one of today's users.
type Deployment struct {
	// Name is the name in tables.
	Name string
	// Fast and Slow count the replicas of the model; a slow one takes twice as
	// long. Services counts plain services.
	Fast, Slow, Services int
}

// Deployments are the two of today.
var Deployments = []Deployment{
	{Name: "jury", Fast: 6, Slow: 4, Services: 3},
	{Name: "diary", Fast: 7, Slow: 5, Services: 3},
}

// serviceSlow makes calls of the services about a fifth of all requests.
const serviceSlow = 10

// serviceTokens is about the mean number of steps of a call of a service.
const serviceTokens = 11

// The names of the model and of the plain service.
const (
	model   = "model"
	service = "service"
)

// The mix of requests. Shares are of the number of requests. The numbers are
// assumed, not taken from either user.
var (
	organisations = []organisation{
		{"fair", 0.40, 3, 120}, {"guild", 0.25, 3, 80}, {"press", 0.20, 2, 180}, {"club", 0.10, 1, 100}, {"school", 0.05, 1, 140},
	}
	tierShares    = [3]float64{0.2, 0.5, 0.3}
	tierDeadlines = [3]time.Duration{60 * time.Second, 90 * time.Second, 180 * time.Second}
)

// organisation is a share of the traffic with a weight in the document and a
// median length of answers.
type organisation struct {
	name   string
	share  float64
	weight float64
	output float64
}

// Setup is what happens in a case. Times count from the start.
type Setup struct {
	// Name is the name in tables.
	Name string
	// Length is how long requests arrive.
	Length time.Duration
	// Rate is the offered load as a share of what the fleet can do.
	Rate func(at time.Duration) float64
	// Act is called once at the start and schedules faults.
	Act func(w *world)
	// Batch is an additional load of long layouts in the lowest tier, as a share
	// of what the fleet can do.
	Batch float64
	// Only leaves out every tier but the highest.
	Only bool

	reportDelay time.Duration
	reportLoss  float64
	// resend is how often a caller sends a crashing request again.
	resend int
}

// world is one run.
type world struct {
	loop    *loop
	setup   Setup
	arm     Arm
	random  *rand.Rand
	entries []*entry
	agents  []*agent
	tally   *tally
	next    int
	resends int
	// recorded gets the requests in place of the entries unless it is nil.
	recorded *[]*request
}

// newWorld makes the processes of a run.
func newWorld(d Deployment, s Setup, arm Arm, seed uint64) *world {
	w := &world{
		loop: &loop{now: epoch}, setup: s, arm: arm,
		random: rand.New(rand.NewPCG(seed, 1)), tally: newTally(),
	}
	shares := make(map[string]float64)
	for _, o := range organisations {
		shares[o.name] = o.weight
	}
	for i := range d.Fast + d.Slow + d.Services {
		a := &agent{
			w: w, index: i, name: fmt.Sprint("vm", i), model: model, domain: fmt.Sprint("domain", i%3), queued: arm.Queue,
			endpoint: &endpoint{loop: w.loop, slow: 1}, limit: limit.New(limit.Defaults()),
			waiting: queue.New[*attempt](bounds), inside: make(map[*attempt]struct{}), lastReport: epoch,
		}
		a.waiting.SetShares(shares)
		if i >= d.Fast {
			a.endpoint.slow = 2
		}
		if i >= d.Fast+d.Slow {
			a.endpoint.slow, a.model = serviceSlow, service
			a.limit = limit.New(limit.ServiceDefaults())
		}
		w.agents = append(w.agents, a)
	}
	for i := range 3 {
		p, err := policy.New(arm.Policy, seed+uint64(i))
		if err != nil {
			panic(err) // The arms are constant.
		}
		en := &entry{
			w: w, byAgent: make(map[*agent]*view), policy: p, lengths: estimate.NewLengths(), budget: budget.New(),
			health: map[string]*health.Group{model: health.New(), service: health.New()}, crashes: make(map[uint64]int),
		}
		names := map[string][]string{}
		for _, a := range w.agents {
			v := &view{agent: a, at: epoch, open: make(map[*attempt]struct{})}
			v.load.Lowest = -1
			en.views = append(en.views, v)
			en.byAgent[a] = v
			names[a.model] = append(names[a.model], a.name)
		}
		for m, n := range names {
			en.health[m].SetAgents(n)
		}
		w.entries = append(w.entries, en)
	}
	for _, a := range w.agents {
		a.start()
	}
	return w
}

// Run runs a case and returns its figures. Equal arguments give equal figures,
// and arms that differ get the same requests.
func Run(d Deployment, s Setup, arm Arm, seed uint64) Report {
	w := newWorld(d, s, arm, seed)
	w.traffic(d, seed)
	if s.Act != nil {
		s.Act(w)
	}
	w.loop.run(epoch.Add(s.Length + tierDeadlines[2] + time.Second))
	return w.report(d)
}

// traffic schedules all arrivals of the case.
func (w *world) traffic(d Deployment, seed uint64) {
	engines, services := capacity(d)
	random := rand.New(rand.NewPCG(seed, 2))
	w.arrivals(rand.New(rand.NewPCG(random.Uint64(), 0)), engines, w.chat)
	w.arrivals(rand.New(rand.NewPCG(random.Uint64(), 0)), services, w.call)
	if w.setup.Batch > 0 {
		w.batch(rand.New(rand.NewPCG(random.Uint64(), 0)), engines)
	}
}

// arrivals schedules a Poisson process at the rate of the case.
func (w *world) arrivals(random *rand.Rand, capacity float64, draw func(*rand.Rand) *request) {
	var next func()
	next = func() {
		at := w.loop.now.Sub(epoch)
		if at >= w.setup.Length {
			return
		}
		r := draw(random)
		if !w.setup.Only || r.info.Tier == 0 {
			w.arrive(r)
		}
		rate := w.setup.Rate(w.loop.now.Sub(epoch)) * capacity
		w.loop.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.loop.after(0, next)
}

// batch schedules long layouts at an even rate.
func (w *world) batch(random *rand.Rand, capacity float64) {
	const prompt, output = 15000, 600
	// The work of a layout in mean requests.
	mean := cost(1100, 140)
	every := time.Duration(cost(prompt, output) / mean / (w.setup.Batch * capacity) * float64(time.Second))
	for at := time.Duration(0); at < w.setup.Length; at += every {
		w.loop.after(at, func() {
			r := w.request(random, organisations[2], model, 2)
			r.prompt = 10000 + random.IntN(10001)
			r.output = output/2 + random.IntN(output)
			r.body = r.prompt * 4
			if !w.setup.Only {
				w.arrive(r)
			}
		})
	}
}

// cost is the time of an endpoint for a request at 32 answers.
func cost(prompt, output float64) float64 {
	return prompt*stepPrefill.Seconds() + output*(stepDecode.Seconds()+stepBase.Seconds()/32)
}

// arrive gives a request to one of the entries.
func (w *world) arrive(r *request) {
	w.tally.offer(r)
	if w.recorded != nil {
		*w.recorded = append(*w.recorded, r)
		return
	}
	w.entries[r.id%len(w.entries)].arrive(r)
}

// request makes a request without lengths.
func (w *world) request(random *rand.Rand, o organisation, model string, tier int) *request {
	w.next++
	now := w.loop.now
	return &request{
		id: w.next, arrival: now, deadline: now.Add(tierDeadlines[tier]),
		tried: make(map[*agent]bool), ran: make(map[*agent]bool),
		info: damasktrail.Request{Organisation: o.name, Model: model, Tier: tier, Fingerprint: random.Uint64()},
	}
}

// chat draws a request to the model.
func (w *world) chat(random *rand.Rand) *request {
	o := organisations[pick(random, func(i int) float64 { return organisations[i].share }, len(organisations))]
	tier := pick(random, func(i int) float64 { return tierShares[i] }, len(tierShares))
	r := w.request(random, o, model, tier)
	r.prompt = logNormal(random, 500, 1.3, 20, 20000)
	r.output = logNormal(random, o.output, 0.6, 20, 800)
	r.body = int(float64(r.prompt) * (3.8 + 0.4*random.Float64()))
	return r
}

// call draws a call of a plain service, as a little work.
func (w *world) call(random *rand.Rand) *request {
	o := organisations[pick(random, func(i int) float64 { return organisations[i].share }, len(organisations))]
	r := w.request(random, o, service, pick(random, func(i int) float64 { return tierShares[i] }, len(tierShares)))
	r.prompt = logNormal(random, 100, 0.5, 20, 500)
	r.output = logNormal(random, 10, 0.5, 2, 40)
	r.body = r.prompt * 4
	return r
}

// pick draws an index with the given shares, which sum up to one.
func pick(random *rand.Rand, share func(int) float64, n int) int {
	x := random.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// logNormal draws a length.
func logNormal(random *rand.Rand, median, sigma, low, high float64) int {
	return int(min(max(median*math.Exp(sigma*random.NormFloat64()), low), high))
}

// capacity returns the requests per second that the engines and the services
// can do when every slot is kept full. It does not depend on any arm.
func capacity(d Deployment) (engines, services float64) {
	measure := func(slow float64, draw func(*world, *rand.Rand) *request) float64 {
		const length = 200 * time.Second
		w := &world{loop: &loop{now: epoch}}
		random := rand.New(rand.NewPCG(42, 42))
		e := &endpoint{loop: w.loop, slow: slow}
		ended := 0
		var feed func()
		feed = func() {
			r := draw(w, random)
			e.submit(&job{prompt: r.prompt, output: r.output, onFirst: func() {}, onEnd: func() {
				ended++
				feed()
			}})
		}
		for range slots {
			feed()
		}
		w.loop.run(epoch.Add(length))
		return float64(ended) / length.Seconds()
	}
	chat := func(w *world, r *rand.Rand) *request { return w.chat(r) }
	call := func(w *world, r *rand.Rand) *request { return w.call(r) }
	engines = float64(d.Fast)*measure(1, chat) + float64(d.Slow)*measure(2, chat)
	return engines, float64(d.Services) * measure(serviceSlow, call)
}

// inverted reports whether a request was shed although a lower tier could have
// made room: one of a lower tier was started where it waited while it waited,
// or one still waits at an agent that could serve it when it is refused as full.
func (w *world) inverted(r *request, reason damasktrail.Reason, t *attempt) bool {
	lower := func(f func(tier int) bool) bool {
		for tier := r.info.Tier + 1; tier < len(tierShares); tier++ {
			if f(tier) {
				return true
			}
		}
		return false
	}
	if reason == damasktrail.ReasonDeadline {
		if t == nil || t.entered.IsZero() || r.streamed || t.job != nil && t.job.started {
			return false
		}
		return lower(func(tier int) bool { return t.agent.endpoint.lastStart[tier].After(t.entered) })
	}
	if reason == damasktrail.ReasonFull || reason == damasktrail.ReasonFloor {
		return slices.ContainsFunc(w.agents, func(a *agent) bool {
			return a.model == r.info.Model && !a.lost && !r.tried[a] && a.waiting.Lowest() > r.info.Tier
		})
	}
	return false
}

// lose makes the agents of a failure domain vanish with their endpoints.
func (w *world) lose(domain string) {
	for _, a := range w.agents {
		if a.domain != domain {
			continue
		}
		a.lost = true
		for _, j := range a.endpoint.running {
			a.endpoint.wasted += j.prefilled
			j.gone = true
		}
		a.endpoint.running, a.endpoint.waiting = nil, nil
		a.endpoint.down = true
		a.endpoint.crashes++
		for _, en := range w.entries {
			v := en.byAgent[a]
			w.loop.after(silence, func() { en.closeLink(v) })
		}
	}
}

// poison sends a request that crashes its endpoint.
func (w *world) poison() {
	r := w.request(rand.New(rand.NewPCG(9, 9)), organisations[3], model, 1)
	r.prompt, r.output, r.body, r.poison = 800, 100, 3200, true
	w.arrive(r)
}

// resend sends a crashing request again as its caller does.
func (w *world) resend(old *request) {
	if w.resends++; w.resends > w.setup.resend {
		return
	}
	w.loop.after(2*time.Second, func() {
		r := w.request(rand.New(rand.NewPCG(9, 9)), organisations[3], model, 1)
		r.prompt, r.output, r.body, r.poison = old.prompt, old.output, old.body, true
		r.info.Fingerprint = old.info.Fingerprint
		w.arrive(r)
	})
}

// sortAttempts orders attempts by request, so that runs do not depend on the
// order of maps.
func sortAttempts(ts []*attempt) {
	slices.SortFunc(ts, func(a, b *attempt) int { return cmp.Compare(a.req.id, b.req.id) })
}
