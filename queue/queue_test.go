package queue_test

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev"
	"damasktrail.dev/queue"
)

var epoch = time.Unix(1_000_000, 0)

func item(id, organisation string, tier, prefill int) queue.Item[int] {
	return queue.Item[int]{ID: id, Request: damasktrail.Request{
		Organisation: organisation, Model: "m", Tier: tier,
		Cost: damasktrail.Cost{Prefill: prefill}, Deadline: time.Minute,
	}}
}

func ids(items []queue.Item[int]) []string {
	res := []string{}
	for _, it := range items {
		res = append(res, it.ID)
	}
	return res
}

// Guards against evicting in the wrong order and against evictions that do not
// make enough room.
func TestPushFull(t *testing.T) {
	for _, tt := range []struct {
		name    string
		limits  queue.Limits
		waiting []queue.Item[int]
		push    queue.Item[int]
		evicted []string
		reason  damasktrail.Reason
	}{
		{"room", queue.Limits{Requests: 2, Prefill: 100}, nil, item("x", "a", 1, 100), []string{}, ""},
		{
			"newest of the lowest tier goes",
			queue.Limits{Requests: 4, Prefill: 100},
			[]queue.Item[int]{item("a", "a", 2, 1), item("b", "a", 2, 1), item("c", "a", 1, 1), item("d", "a", 1, 1)},
			item("x", "a", 0, 1),
			[]string{"b"},
			"",
		},
		{
			"several go for their tokens",
			queue.Limits{Requests: 9, Prefill: 100},
			[]queue.Item[int]{item("a", "a", 1, 40), item("b", "a", 2, 30), item("c", "a", 2, 30)},
			item("x", "a", 0, 50),
			[]string{"c", "b"},
			"",
		},
		{
			"equal tiers do not evict",
			queue.Limits{Requests: 1, Prefill: 100},
			[]queue.Item[int]{item("a", "a", 1, 1)},
			item("x", "b", 1, 1),
			[]string{},
			damasktrail.ReasonFull,
		},
		{
			"lower does not evict higher",
			queue.Limits{Requests: 1, Prefill: 100},
			[]queue.Item[int]{item("a", "a", 0, 1)},
			item("x", "b", 1, 1),
			[]string{},
			damasktrail.ReasonFull,
		},
		{
			"nothing goes when it would not suffice",
			queue.Limits{Requests: 9, Prefill: 100},
			[]queue.Item[int]{item("a", "a", 0, 60), item("b", "a", 2, 30)},
			item("x", "a", 1, 50),
			[]string{},
			damasktrail.ReasonFull,
		},
		{
			"an id waits once",
			queue.Limits{Requests: 9, Prefill: 100},
			[]queue.Item[int]{item("x", "a", 0, 60)},
			item("x", "a", 0, 1),
			[]string{},
			damasktrail.ReasonDuplicate,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New[int](tt.limits)
			for _, it := range tt.waiting {
				_, refusal := q.Push(it, epoch)
				require.Nil(t, refusal)
			}
			evicted, refusal := q.Push(tt.push, epoch)
			require.Equal(t, tt.evicted, ids(evicted))
			if tt.reason == "" {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, tt.reason, refusal.Reason)
		})
	}
}

// Guards against refusing a request because of the work of lower tiers or of the
// backlog of another organisation, and against accepting a request that cannot
// meet its deadline.
func TestPushDeadline(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting []queue.Item[int]
		push    queue.Item[int]
		ok      bool
	}{
		{"own service fits", nil, item("x", "a", 1, 6000), true},
		{"own service is too long", nil, item("x", "a", 1, 6100), false},
		{"the longest answer is too long", nil, queue.Item[int]{ID: "x", DecodeP90: 6000, Request: item("", "a", 1, 100).Request}, false},
		{"higher tiers count", []queue.Item[int]{item("a", "a", 0, 5500)}, item("x", "a", 1, 600), false},
		{"the own tier counts", []queue.Item[int]{item("a", "a", 1, 5500)}, item("x", "a", 1, 600), false},
		{"lower tiers do not count", []queue.Item[int]{item("a", "a", 2, 5500)}, item("x", "a", 1, 600), true},
		{"others count up to the share", []queue.Item[int]{item("a", "b", 1, 5500)}, item("x", "a", 1, 600), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New[int](queue.Limits{Requests: 9, Prefill: 1 << 20})
			q.SetRates(queue.Rates{Prefill: 100, Decode: 100, TokenInterval: 10 * time.Millisecond})
			for _, it := range tt.waiting {
				_, refusal := q.Push(it, epoch)
				require.Nil(t, refusal)
			}
			_, refusal := q.Push(tt.push, epoch)
			require.Equal(t, tt.ok, refusal == nil, "%v", refusal)
			if !tt.ok {
				require.Equal(t, damasktrail.ReasonDeadline, refusal.Reason)
				require.Equal(t, damasktrail.NotRun, refusal.Outcome)
			}
		})
	}
}

// Guards against serving an organisation more or less than its share when the
// organisations send requests of different sizes.
func TestPopShares(t *testing.T) {
	q := queue.New[int](queue.Limits{Requests: 10000, Prefill: 1 << 30})
	q.SetShares(map[string]float64{"a": 2, "b": 1})
	for i := range 900 {
		_, _ = q.Push(item(fmt.Sprint("a", i), "a", 0, 4000), epoch)
		_, _ = q.Push(item(fmt.Sprint("b", i), "b", 0, 100), epoch)
		_, _ = q.Push(item(fmt.Sprint("c", i), "c", 0, 1000), epoch)
	}
	served := map[string]int{}
	for served["a"] < 400_000 {
		it, ok := q.Pop(epoch)
		require.True(t, ok)
		served[it.Request.Organisation] += it.Request.Cost.Prefill
	}
	require.Equal(t, 90_000, served["b"], "b was exhausted below its share")
	require.InDelta(t, 200_000, served["c"], 10_000)
}

// Guards against dispatching items that can no longer meet their deadline, and
// against dropping them without returning them.
func TestExpire(t *testing.T) {
	q := queue.New[int](queue.Limits{Requests: 9, Prefill: 1 << 20})
	q.SetRates(queue.Rates{Prefill: 100})
	_, _ = q.Push(item("long", "a", 0, 3000), epoch)
	_, _ = q.Push(item("short", "a", 1, 100), epoch)
	require.Empty(t, q.Expire(epoch.Add(30*time.Second)))
	late := epoch.Add(31 * time.Second)
	it, ok := q.Pop(late)
	require.True(t, ok)
	require.Equal(t, "short", it.ID)
	require.Equal(t, []string{"long"}, ids(q.Expire(late)))
	require.Empty(t, q.Expire(late))
	_, _ = q.Push(item("idle", "a", 0, 100), late)
	require.Equal(t, []string{"idle"}, ids(q.Expire(late.Add(time.Hour))))
	require.Zero(t, q.Len())
}

// Guards against Drain returning ticketed requests, and against RemoveBelow
// returning requests of the given tier or of another model.
func TestDrainAndFloor(t *testing.T) {
	q := queue.New[int](queue.Limits{Requests: 9, Prefill: 1 << 20})
	kept := item("kept", "a", 2, 1)
	kept.Ticketed = true
	other := item("other", "a", 2, 1)
	other.Request.Model = "n"
	for _, it := range []queue.Item[int]{item("0", "a", 0, 1), item("1", "a", 1, 1), kept, other, item("2", "b", 2, 1)} {
		_, refusal := q.Push(it, epoch)
		require.Nil(t, refusal)
	}
	require.Equal(t, 2, q.Lowest())
	require.Equal(t, []string{"2", "kept"}, ids(q.RemoveBelow("m", 1)))
	_, _ = q.Push(kept, epoch)
	require.Equal(t, []string{"other", "1", "0"}, ids(q.Drain()))
	require.Equal(t, 1, q.Len())
	_, ok := q.Remove("kept")
	require.True(t, ok)
	require.Equal(t, -1, q.Lowest())
}

func overdue(it queue.Item[int], now time.Time) bool {
	return !it.InTimeUntil.IsZero() && !now.Before(it.InTimeUntil)
}

// Guards against overdue items that are served before items of their tier that can be in time
// or after those of a lower tier, and against an organisation that gets more than its share of
// them.
func TestPopOverdue(t *testing.T) {
	q := queue.New[int](queue.Limits{Requests: 99, Prefill: 1 << 20})
	push := func(id, organisation string, tier int, inTime time.Duration) {
		it := item(id, organisation, tier, 1000)
		it.InTimeUntil = epoch.Add(inTime)
		_, refusal := q.Push(it, epoch)
		require.Nil(t, refusal)
	}
	for i := range 4 {
		push(fmt.Sprint("a", i), "a", 1, time.Second)
	}
	push("b0", "b", 1, 2*time.Second)
	push("late", "b", 1, 0)
	push("low", "b", 2, time.Hour)
	push("in time", "a", 1, time.Minute)
	order := []string{}
	for q.Len() > 0 {
		it, ok := q.Pop(epoch.Add(3 * time.Second))
		require.True(t, ok)
		order = append(order, it.ID)
	}
	require.Equal(t, "in time", order[0])
	require.Equal(t, "low", order[len(order)-1])
	require.Subset(t, order[1:5], []string{"late", "b0"}, "the organisations take turns")
}

// Guards against inconsistent data structures after any sequence of operations:
// wrong counts, totals or tier order, and evicting from a higher tier while a
// lower one has items.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](queue.Limits{Requests: 8, Prefill: 1000})
		model := map[string]queue.Item[int]{}
		now, serial := epoch, 0
		drop := func(items []queue.Item[int]) {
			for _, it := range items {
				if _, found := model[it.ID]; !found {
					t.Fatalf("%q came back without waiting", it.ID)
				}
				delete(model, it.ID)
			}
		}
		lowest := func() int {
			res := -1
			for _, it := range model {
				res = max(res, it.Request.Tier)
			}
			return res
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				serial++
				it := item(strconv.Itoa(serial), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
					rapid.IntRange(0, 2).Draw(t, "tier"), rapid.IntRange(1, 400).Draw(t, "prefill"))
				it.Request.Deadline = time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second
				it.Ticketed = rapid.Bool().Draw(t, "ticketed")
				if rapid.Bool().Draw(t, "objective") {
					it.InTimeUntil = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "in time")) * time.Second)
				}
				below := 0
				for _, w := range model {
					if w.Request.Tier > it.Request.Tier {
						below++
					}
				}
				evicted, refusal := q.Push(it, now)
				drop(evicted)
				for _, e := range evicted {
					require.Greater(t, e.Request.Tier, it.Request.Tier)
					require.GreaterOrEqual(t, e.Request.Tier, lowest())
				}
				if refusal == nil {
					model[it.ID] = it
				} else if below == len(model) {
					t.Fatalf("refused although everything waiting is lower: %v", refusal)
				}
			},
			"pop": func(t *rapid.T) {
				if it, ok := q.Pop(now); ok {
					drop([]queue.Item[int]{it})
					drop(q.Expire(now))
					for _, w := range model {
						require.GreaterOrEqual(t, w.Request.Tier, it.Request.Tier)
						if w.Request.Tier == it.Request.Tier && overdue(it, now) {
							require.True(t, overdue(w, now), "served before one that can be in time")
						}
					}
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second)
				drop(q.Expire(now))
			},
			"remove": func(t *rapid.T) {
				if it, ok := q.Remove(strconv.Itoa(rapid.IntRange(0, serial).Draw(t, "id"))); ok {
					drop([]queue.Item[int]{it})
				}
			},
			"floor": func(t *rapid.T) { drop(q.RemoveBelow("m", rapid.IntRange(0, 2).Draw(t, "floor"))) },
			"drain": func(*rapid.T) { drop(q.Drain()) },
			"": func(t *rapid.T) {
				drop(q.Expire(now))
				sum := 0
				for _, it := range model {
					sum += it.Request.Cost.Prefill
				}
				require.Equal(t, len(model), q.Len())
				require.Equal(t, sum, q.Work().Prefill)
				require.Equal(t, lowest(), q.Lowest())
				require.Len(t, q.Items(), q.Len())
				q.Regroup(now)
				counts := map[string]int{}
				for _, it := range model {
					counts[fmt.Sprint(it.Request.Tier, overdue(it, now))]++
				}
				q.EachGroup(func(rank int, overdue bool, count int) {
					require.Equal(t, counts[fmt.Sprint(rank, overdue)], count)
					delete(counts, fmt.Sprint(rank, overdue))
				})
				require.Empty(t, counts)
			},
		})
	})
}

// Guards against a pop whose time grows with the stated cost of the requests, and against
// extreme costs and shares that upset the order of others.
func TestExtremeCosts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cost   damasktrail.Cost
		shares map[string]float64
	}{
		{"largest honest", damasktrail.Cost{Prefill: 100_000, Decode: 100_000}, nil},
		{"10^15", damasktrail.Cost{Prefill: 1e15}, nil},
		{"largest", damasktrail.Cost{Prefill: math.MaxInt}, nil},
		{"sum beyond the range", damasktrail.Cost{Prefill: math.MaxInt, Decode: math.MaxInt}, nil},
		{"product beyond the range", damasktrail.Cost{Decode: math.MaxInt/4 + 1}, nil},
		{"negative", damasktrail.Cost{Prefill: math.MinInt, Decode: math.MinInt}, nil},
		{"zero", damasktrail.Cost{}, nil},
		{"smallest share", damasktrail.Cost{Prefill: 1e15}, map[string]float64{"odd": math.SmallestNonzeroFloat64}},
		{"largest share", damasktrail.Cost{Prefill: 1e15}, map[string]float64{"odd": math.MaxFloat64, "a": math.MaxFloat64}},
		{"unusable shares", damasktrail.Cost{Prefill: 1e15}, map[string]float64{"odd": math.NaN(), "a": math.Inf(1)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New[int](queue.Limits{Requests: 1000, Prefill: math.MaxInt})
			q.SetShares(tt.shares)
			for i := range 5 {
				odd := item(fmt.Sprint("odd", i), "odd", 0, 0)
				odd.Request.Cost = tt.cost
				_, refusal := q.Push(odd, epoch)
				require.Nil(t, refusal)
				for _, organisation := range []string{"a", "b"} {
					_, refusal = q.Push(item(fmt.Sprint(organisation, i), organisation, 0, 1500), epoch)
					require.Nil(t, refusal)
				}
			}
			popped := make(chan []string, 1)
			go func() {
				var res []string
				for it, ok := q.Pop(epoch); ok; it, ok = q.Pop(epoch) {
					res = append(res, it.ID)
				}
				popped <- res
			}()
			select {
			case res := <-popped:
				require.Len(t, res, 15)
				if tt.cost.Prefill >= 1e15 && tt.shares == nil {
					require.NotContains(t, strings.Join(res[:10], " "), "odd", "requests of usual cost wait behind one of extreme cost")
				}
			case <-time.After(2 * time.Second):
				t.Fatal("pop has not returned")
			}
			require.Zero(t, q.Work())
		})
	}
}

// FuzzCosts guards against costs and shares with which a pop does not return, or loses a
// request.
func FuzzCosts(f *testing.F) {
	f.Add(1500, 80, 1.0, 100_000, 0, 1.0)
	f.Add(math.MaxInt, math.MaxInt, math.MaxFloat64, math.MinInt, -1, math.SmallestNonzeroFloat64)
	f.Fuzz(func(t *testing.T, prefillA, decodeA int, shareA float64, prefillB, decodeB int, shareB float64) {
		q := queue.New[int](queue.Limits{Requests: 100, Prefill: math.MaxInt})
		q.SetShares(map[string]float64{"a": shareA, "b": shareB})
		pushed := 0
		for i := range 4 {
			for _, it := range []queue.Item[int]{item(fmt.Sprint("a", i), "a", 0, prefillA), item(fmt.Sprint("b", i), "b", 0, prefillB), item(fmt.Sprint("c", i), "c", 0, 1500)} {
				it.Request.Cost.Decode = map[string]int{"a": decodeA, "b": decodeB}[it.Request.Organisation]
				if _, refusal := q.Push(it, epoch); refusal == nil {
					pushed++
				}
			}
		}
		for range pushed {
			_, ok := q.Pop(epoch)
			require.True(t, ok)
		}
		require.Zero(t, q.Len())
	})
}

// Guards against shares that depend on the number of rounds that are granted at once.
func TestSharesOfLargeRequests(t *testing.T) {
	q := queue.New[int](queue.Limits{Requests: 10000, Prefill: 1 << 40})
	q.SetShares(map[string]float64{"a": 3, "b": 1})
	for i := range 400 {
		_, _ = q.Push(item(fmt.Sprint("a", i), "a", 0, 100_000), epoch)
		_, _ = q.Push(item(fmt.Sprint("b", i), "b", 0, 77_000), epoch)
		_, _ = q.Push(item(fmt.Sprint("c", i), "c", 0, 500), epoch)
	}
	served := map[string]int{}
	for served["a"] < 9_000_000 {
		it, ok := q.Pop(epoch)
		require.True(t, ok)
		served[it.Request.Organisation] += it.Request.Cost.Prefill
	}
	require.InDelta(t, 3_000_000, served["b"], 200_000)
	require.Equal(t, 200_000, served["c"], "c was exhausted below its share")
}

// BenchmarkPopLarge measures one push and one pop of requests of 100,000 tokens.
func BenchmarkPopLarge(b *testing.B) {
	q := queue.New[int](queue.Limits{Requests: 20000, Prefill: 1 << 40})
	push := func(i int) {
		if _, refusal := q.Push(item(strconv.Itoa(i), strconv.Itoa(i%50), 0, 100_000), epoch); refusal != nil {
			b.Fatal(refusal)
		}
	}
	for i := range 1000 {
		push(i)
	}
	b.ReportAllocs()
	for i := 1000; b.Loop(); i++ {
		push(i)
		if _, ok := q.Pop(epoch); !ok {
			b.Fatal("queue is empty")
		}
	}
}

// BenchmarkPushPop measures one push and one pop with 10,000 waiting items.
func BenchmarkPushPop(b *testing.B) {
	q := queue.New[int](queue.Limits{Requests: 20000, Prefill: 1 << 40})
	q.SetRates(queue.Rates{Prefill: 1e9, Decode: 1e9, TokenInterval: time.Nanosecond})
	push := func(i int) {
		it := item(strconv.Itoa(i), strconv.Itoa(i%50), i%3, 20+i*7919%20000)
		it.Request.Deadline += time.Duration(i*7919%60000) * time.Millisecond
		if _, refusal := q.Push(it, epoch); refusal != nil {
			b.Fatal(refusal)
		}
	}
	for i := range 10000 {
		push(i)
	}
	b.ReportAllocs()
	for i := 10000; b.Loop(); i++ {
		push(i)
		if _, ok := q.Pop(epoch); !ok {
			b.Fatal("queue is empty")
		}
	}
}

// Example evicts an item to make room for one of a higher tier.
func Example() {
	now := time.Unix(0, 0)
	q := queue.New[string](queue.Limits{Requests: 1, Prefill: 10000})
	request := damasktrail.Request{Organisation: "acme", Tier: 2, Deadline: time.Minute}
	_, _ = q.Push(queue.Item[string]{ID: "layout", Request: request}, now)
	request.Tier = 0
	evicted, refusal := q.Push(queue.Item[string]{ID: "appeal", Request: request}, now)
	next, _ := q.Pop(now)
	fmt.Println(evicted[0].ID, refusal == nil, next.ID)
	// Output: layout true appeal
}
