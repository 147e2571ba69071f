package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/trace"
)

const log1 = `  1.0 edge-a {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"gateway: table in force","vm":"a","version":3}
noise
  2.0 edge-a {"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"gateway: directory does not answer","vm":"a","topic":"table"}
  2.1 edge-a {"time":"2026-01-01T00:00:02.1Z","level":"INFO","msg":"gateway: request sent","vm":"a","id":"r1","endpoint":"i-1","wait":0}
  2.2 edge-a {"time":"2026-01-01T00:00:02.2Z","level":"INFO","msg":"gateway: request ended","vm":"a","id":"r2","outcome":"refused","status":429,"reason":"limit","organisation":"acme","retry":250000000}
  2.3 edge-a {"time":"2026-01-01T00:00:02.3Z","level":"INFO","msg":"gateway: request ended","vm":"a","id":"r1","outcome":"refused","status":502,"reason":"lost","detail":"reset","endpoint":"i-1","sends":1,"ran":true}
  9.0 edge-a {"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"gateway: request sent","vm":"a","id":"r3","endpoint":"i-1"}
`

const log2 = `{"time":"2025-12-31T23:00:00Z","level":"INFO","msg":"gateway: shutting down","vm":"b"}
{"time":"2025-12-31T23:00:01Z","level":"INFO","msg":"gateway: request ended","vm":"b","id":"r4","outcome":"cut","status":200,"reason":"cancelled","events":7,"whole":1500000000}
{"time":"2025-12-31T23:00:01Z","level":"INFO","msg":"gateway: request ended","vm":"b","id":"r5","outcome":"answered","status":200,"endpoint":"i-2","first":120000000,"wait":20000000,"whole":900000000,"sends":2}
`

// Guards against an explanation that does not match the lines.
func TestCause(t *testing.T) {
	for id, want := range map[string]string{
		"r1": "Refused with status 502 (it may have run): the connection to i-1 broke (reset), sent once, and it may not be sent again.",
		"r2": "Refused with status 429 (it has not run): the quota of acme was used up; room in 250ms.",
		"r3": `r3 has no last line on a: the process was killed, or still works on it; its last step was "request sent".`,
		"r4": "Cut off after 7 events and 1.5s: the caller left after 1.5s.",
		"r5": "Answered with status 200 by i-2: first byte after 120ms, of which 20ms waiting for a place, whole after 900ms, sent 2 times.",
		"r6": "No line names r6: it never reached a process, or the lines were dropped (damasktrail_log_dropped) or are in other files.",
	} {
		res, err := trace.Read(id, strings.NewReader(log1), strings.NewReader(log2))
		require.NoError(t, err)
		require.Equal(t, want, res.Cause())
		require.Equal(t, 1, res.Skipped)
	}
}

// Guards against process lines of another process or from long before the request.
func TestProcessLines(t *testing.T) {
	res, err := trace.Read("r1", strings.NewReader(log1), strings.NewReader(log2))
	require.NoError(t, err)
	require.Len(t, res.Lines, 2)
	require.Len(t, res.ProcessLines, 2)
	require.Equal(t, "directory does not answer", res.ProcessLines[1].Message)
	res, err = trace.Read("r3", strings.NewReader(log1))
	require.NoError(t, err)
	require.Empty(t, res.ProcessLines, "all process lines are outside the window")
}

// Example explains how a request ended.
func Example() {
	t, _ := trace.Read("r2", strings.NewReader(log1))
	fmt.Println(t.Cause())
	// Output: Refused with status 429 (it has not run): the quota of acme was used up; room in 250ms.
}
