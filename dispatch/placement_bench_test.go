package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// BenchmarkChoice measures one slot from its request to its end at a coordinator with 120
// endpoints, half of whose slots are taken, with the present choice and that by expected
// times.
func BenchmarkChoice(b *testing.B) {
	for _, adaptive := range []bool{false, true} {
		b.Run(fmt.Sprint("adaptive=", adaptive), func(b *testing.B) {
			tasks := group.New(context.Background())
			defer tasks.Close()
			s := dispatch.New(timer.New(tasks), "entry0", "d0", fleet.NewNotices(), func(bool) {})
			list, loads := fleet.List{}, map[string]dispatch.Load{}
			for i := range 120 {
				e := fleet.Endpoint{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Domain: fmt.Sprint("d", i%4), Slots: unevenSlots}
				list = list.With(e)
				loads[e.ID] = dispatch.Load{Requests: 2, Prompt: 1000}
			}
			s.SetFleet(dispatch.Fleet{Turns: dispatch.OwnerTurns, Assigning: []string{"entry0", "entry1", "entry2", "entry3"}})
			s.SetEndpoints(list)
			s.SetAdaptive("llm", adaptive)
			for i := range 3 {
				r := dispatch.Report{Domain: fmt.Sprint("d", 1+i)}
				if i == 0 {
					r.Loads = loads
				}
				r.Waiting = map[string]map[int]int{"other": {0: 1}}
				s.SetPeer(fmt.Sprint("entry", 1+i), r)
			}
			r := dispatch.Request{Service: "llm", Engine: true, Objective: time.Second, Timeout: 10 * time.Second, Prompt: 3000, Output: 100, Pause: unevenPause}
			var load fleet.StatedLoad
			if adaptive {
				load.Percent = 68
			}
			var held []*dispatch.Grant
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				g, refusal := s.Acquire(context.Background(), r)
				if refusal != nil {
					b.Fatal(refusal)
				}
				g.Started(load)
				if held = append(held, g); len(held) > 60 {
					held[0].Done(dispatch.Answered, 20*time.Millisecond)
					held = held[1:]
				}
			}
		})
	}
}
