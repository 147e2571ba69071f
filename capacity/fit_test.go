package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFit guards against a wrong slope, on which every figure of docs/CAPACITY.md is
// based.
func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 3, l.Intercept, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 1, l.R2, 1e-9)
	require.InDelta(t, 23, l.At(10), 1e-9)
	require.InDelta(t, 2, Quantile([]float64{3, 1, 2}, 0.5), 1e-9)
}

// TestTargetFits guards against a document or VM list of the target size that
// the platform cannot hold.
func TestTargetFits(t *testing.T) {
	require.LessOrEqual(t, len(Target.Document(1).Encode()), 1<<20)
	require.LessOrEqual(t, len(VMs(1, Entries+Replicas).Encode()), 1<<20)
}
