package ticket_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev"
	"damasktrail.dev/ticket"
)

var epoch = time.Now()

func issuer(incarnation string) *ticket.Issuer {
	return ticket.NewIssuer("agent", incarnation, bytes.Repeat([]byte(incarnation), 16), epoch)
}

func issue(t require.TestingT, is *ticket.Issuer) string {
	res, err := is.Issue("org", "m", time.Minute, epoch)
	require.NoError(t, err)
	return res
}

var errQueueFull = &damasktrail.Refusal{Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun}

// Guards against a ticket that runs twice, against its use for another request,
// and against the outcome "not run" for a request that may have run.
func TestBegin(t *testing.T) {
	type use func(l *ticket.Ledger, text string)
	begin := func(l *ticket.Ledger, text string) { l.Begin(text, "org", "m", [32]byte{1}, epoch) }
	dispatch := func(l *ticket.Ledger, text string) { l.Dispatch(text) }
	finish := func(size int) use {
		return func(l *ticket.Ledger, text string) { l.Finish(text, ticket.Answer{Body: make([]byte, size)}) }
	}
	invalidate := func(l *ticket.Ledger, text string) { l.Invalidate(text, errQueueFull, epoch) }
	fail := func(l *ticket.Ledger, text string) {
		l.Fail(text, &damasktrail.Refusal{Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown})
	}
	for _, tt := range []struct {
		name         string
		uses         []use
		organisation string
		digest       byte
		after        time.Duration
		state        ticket.State
		reason       damasktrail.Reason
		outcome      damasktrail.Outcome
	}{
		{"first use", nil, "org", 1, 0, ticket.Fresh, "", ""},
		{"first use too late", nil, "org", 1, time.Minute, ticket.None, damasktrail.ReasonExpired, damasktrail.Unknown},
		{"another organisation", nil, "other", 1, 0, ticket.None, damasktrail.ReasonMismatch, damasktrail.NotRun},
		{"resend while waiting", []use{begin}, "org", 1, 0, ticket.Running, "", ""},
		{"resend while running", []use{begin, dispatch}, "org", 1, 0, ticket.Running, "", ""},
		{"resend while running after expiry", []use{begin, dispatch}, "org", 1, time.Hour, ticket.Running, "", ""},
		{"another body", []use{begin}, "org", 2, 0, ticket.None, damasktrail.ReasonMismatch, damasktrail.NotRun},
		{"resend after the end", []use{begin, dispatch, finish(10)}, "org", 1, 0, ticket.Done, "", ""},
		{"answer too large to keep", []use{begin, dispatch, finish(101)}, "org", 1, 0, ticket.None, damasktrail.ReasonDuplicate, damasktrail.Unknown},
		{"after the end and expiry", []use{begin, dispatch, finish(10)}, "org", 1, time.Hour, ticket.None, damasktrail.ReasonExpired, damasktrail.Unknown},
		{"invalidated while waiting", []use{begin, invalidate}, "org", 1, 0, ticket.None, damasktrail.ReasonFull, damasktrail.NotRun},
		{"invalidated before use", []use{invalidate}, "org", 1, 0, ticket.None, damasktrail.ReasonFull, damasktrail.NotRun},
		{"invalidated after dispatch", []use{begin, dispatch, invalidate}, "org", 1, 0, ticket.Running, "", ""},
		{"crashed", []use{begin, dispatch, fail}, "org", 1, 0, ticket.None, damasktrail.ReasonCrashed, damasktrail.Unknown},
		{"crashed and invalidated later", []use{begin, dispatch, fail, invalidate}, "org", 1, 0, ticket.None, damasktrail.ReasonCrashed, damasktrail.Unknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := issuer("i")
			l := ticket.NewLedger(is, 100)
			text := issue(t, is)
			for _, u := range tt.uses {
				u(l, text)
			}
			state, refusal := l.Begin(text, tt.organisation, "m", [32]byte{tt.digest}, epoch.Add(tt.after))
			require.Equal(t, tt.state, state)
			if tt.reason == "" {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, tt.reason, refusal.Reason)
			require.Equal(t, tt.outcome, refusal.Outcome)
		})
	}
}

// Guards against an agent that accepts a ticket of its previous incarnation, or
// answers that its request was not run.
func TestOtherIncarnation(t *testing.T) {
	text := issue(t, issuer("old"))
	l := ticket.NewLedger(issuer("new"), 100)
	_, refusal := l.Begin(text, "org", "m", [32]byte{}, epoch)
	require.Equal(t, damasktrail.ReasonIncarnation, refusal.Reason)
	require.Equal(t, damasktrail.Unknown, refusal.Outcome)
	require.False(t, l.Invalidate(text, errQueueFull, epoch))
	agent, incarnation, err := ticket.Target(text)
	require.NoError(t, err)
	require.Equal(t, []string{"agent", "old"}, []string{agent, incarnation})
}

// Guards against unbounded memory use by tickets or stored answers.
func TestBounds(t *testing.T) {
	is := issuer("i")
	l := ticket.NewLedger(is, 100)
	var texts []string
	for i := range 20 {
		texts = append(texts, issue(t, is))
		l.Begin(texts[i], "org", "m", [32]byte{1}, epoch)
		require.True(t, l.Dispatch(texts[i]))
		require.True(t, l.Finish(texts[i], ticket.Answer{Body: make([]byte, 10)}))
		l.Begin(texts[0], "org", "m", [32]byte{1}, epoch)
	}
	for i, text := range texts {
		_, ok := l.Answer(text)
		require.Equal(t, i == 0 || i > 10, ok, "answer %d", i)
	}
	l.Begin(texts[0], "org", "m", [32]byte{1}, epoch.Add(time.Minute))
	require.Zero(t, l.Len())
	for range ticket.MaxOutstanding - 20 {
		issue(t, is)
	}
	_, err := is.Issue("org", "m", time.Minute, epoch.Add(time.Second))
	var full *ticket.OutstandingError
	require.ErrorAs(t, err, &full)
	require.Equal(t, 59*time.Second, full.Retry)
	_, err = is.Issue("org", "m", time.Minute, epoch.Add(time.Minute))
	require.NoError(t, err)
}

// Guards against a ticket that runs more than once, and against the outcome "not
// run" for a request that ran before or runs later, in any order of operations.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := issuer("i")
		l := ticket.NewLedger(is, 300) // Room for one or two answers.
		texts := []string{issue(t, is), issue(t, is), issue(t, is)}
		runs := map[string]int{}
		denied := map[string]bool{}
		now := epoch
		one := rapid.SampledFrom(texts)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				text := one.Draw(t, "ticket")
				digest := [32]byte{rapid.Byte().Draw(t, "digest") % 2}
				state, refusal := l.Begin(text, "org", "m", digest, now)
				require.Equal(t, state == ticket.None, refusal != nil)
				if refusal != nil && refusal.Outcome == damasktrail.NotRun && refusal.Reason != damasktrail.ReasonMismatch {
					denied[text] = true
				}
				if state == ticket.Fresh {
					require.Zero(t, runs[text])
				}
				if state == ticket.Done {
					a, ok := l.Answer(text)
					require.True(t, ok)
					require.Equal(t, text, a.Type)
				}
			},
			"dispatch": func(t *rapid.T) {
				if text := one.Draw(t, "ticket"); l.Dispatch(text) {
					runs[text]++
				}
			},
			"finish": func(t *rapid.T) {
				text := one.Draw(t, "ticket")
				l.Finish(text, ticket.Answer{Type: text, Body: make([]byte, rapid.IntRange(0, 9).Draw(t, "size"))})
			},
			"fail": func(t *rapid.T) {
				l.Fail(one.Draw(t, "ticket"), &damasktrail.Refusal{Outcome: damasktrail.Unknown})
			},
			"discard": func(t *rapid.T) {
				if text := one.Draw(t, "ticket"); l.Invalidate(text, errQueueFull, now) {
					denied[text] = true
				}
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, text := range texts {
					require.LessOrEqual(t, runs[text], 1)
					require.False(t, denied[text] && runs[text] > 0, "a request that ran was called not run")
				}
			},
		})
	})
}

// Guards against a text that crashes the parser, against two textual encodings of
// one ticket, and against accepting a text that the issuer did not make.
func FuzzTarget(f *testing.F) {
	is := issuer("i")
	real := issue(f, is)
	f.Add(real)
	f.Add("")
	f.Add(real[:len(real)-1])
	f.Add(real + "\n")
	f.Add("AQ" + real[2:])
	f.Fuzz(func(t *testing.T, text string) {
		agent, incarnation, err := ticket.Target(text)
		var bad *ticket.FormatError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("error is a %T", err)
		}
		state, refusal := ticket.NewLedger(is, 10).Begin(text, "org", "m", [32]byte{}, epoch)
		if text != real && (state != ticket.None || refusal.Outcome != damasktrail.Unknown) {
			t.Fatalf("%q was accepted for %s %s: %v", text, agent, incarnation, refusal)
		}
	})
}

// BenchmarkLedger measures the life cycle of a ticket from issue to expiry.
func BenchmarkLedger(b *testing.B) {
	is := issuer("i")
	l := ticket.NewLedger(is, 1<<20)
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		text, err := is.Issue("org", "m", time.Minute, now)
		if err != nil {
			b.Fatal(err)
		}
		l.Begin(text, "org", "m", [32]byte{1}, now)
		if !l.Dispatch(text) || !l.Finish(text, ticket.Answer{Body: make([]byte, 64)}) {
			b.Fatal("the ticket did not run")
		}
	}
}

// Example runs a non-idempotent request and resends it after its end.
func Example() {
	now := time.Now()
	is := ticket.NewIssuer("vm7", "5f1c", []byte("random bytes of this incarnation"), now)
	l := ticket.NewLedger(is, 64<<20)
	text, _ := is.Issue("acme", "shop", time.Hour, now)
	state, _ := l.Begin(text, "acme", "shop", [32]byte{1}, now)
	fmt.Println(state == ticket.Fresh, l.Dispatch(text), l.Dispatch(text))
	l.Finish(text, ticket.Answer{Status: 200, Body: []byte("confirmed")})
	state, _ = l.Begin(text, "acme", "shop", [32]byte{1}, now)
	a, _ := l.Answer(text)
	fmt.Println(state == ticket.Done, string(a.Body))
	// Output:
	// true true false
	// true confirmed
}
