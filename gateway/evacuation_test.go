package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
)

// Evacuations implements damasktrail.Directory.
func (d *fakeDirectory) Evacuations(context.Context) (damasktrail.EvacuationUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := damasktrail.EvacuationUpdate{Revision: d.revision, Changed: d.revision}
	for _, domain := range d.evacuated {
		res.Changes = append(res.Changes, damasktrail.EvacuationChange{Domain: domain})
	}
	return res, nil
}

// Guards against a gateway that sends requests to an evacuated failure domain, and against a
// refusal that does not say that the request has not run.
func TestEvacuation(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	s := start(t, e)
	require.Equal(t, http.StatusOK, s.send("/read/x", "1", "").status)
	s.update(func() { s.evacuated = []string{"d"} })
	require.Eventually(t, func() bool { return s.send("/read/x", "2", "").status == http.StatusServiceUnavailable }, time.Second, 10*time.Millisecond)
	refused := s.send("/read/x", "3", "")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "3.000", refused.header.Get("Retry-After"))
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Zero(t, e.runs["3"])
}

// WatchEvacuations implements damasktrail.Directory.
func (d *fakeDirectory) WatchEvacuations(ctx context.Context, w damasktrail.Watch) (damasktrail.EvacuationUpdate, error) {
	if err := d.waitForChange(ctx, w.After, w.Wait); err != nil {
		return damasktrail.EvacuationUpdate{}, err
	}
	return d.Evacuations(ctx)
}
