package entry_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
)

// Guards against calls of a plain service that do not arrive as they were sent,
// and against a second run of a call that may not be repeated.
func TestPlainService(t *testing.T) {
	f := newFleet(t, 2, standin.EndpointOptions{Kind: standin.KindService})
	status, _, answer := send("GET", f.callers[0]+"/v1/services/dossier/files/7?page=2", "")
	require.Equal(t, http.StatusOK, status, answer)
	require.Contains(t, answer, `"GET"`)
	require.Contains(t, answer, "/files/7")

	status, _, answer = send("POST", f.callers[0]+"/v1/tickets", `{"service":"dossier"}`)
	require.Equal(t, http.StatusOK, status, answer)
	var issued struct{ Ticket string }
	require.NoError(t, json.Unmarshal([]byte(answer), &issued))
	const letter = `{"letter":"acceptance"}`
	answers := make([]string, 2)
	for i, caller := range f.callers {
		status, _, answers[i] = send("POST", caller+"/v1/services/dossier/letters", letter, "Idempotency-Key", issued.Ticket)
		require.Equal(t, http.StatusOK, status, answers[i])
	}
	require.Equal(t, answers[0], answers[1], "the kept answer")
	runs := 0
	for _, n := range f.endpoints[0].Runs().Counts {
		runs += n
	}
	require.Equal(t, 2, runs, "one GET and one POST")
}
