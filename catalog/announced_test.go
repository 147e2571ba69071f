package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a report that is recorded after the table that it names has come into
// force: the entry then read the table once more and seemed to be behind.
func TestReportAfterAdoption(t *testing.T) {
	var a announced
	a.adopt(7)
	require.False(t, a.add(7, time.Second))
	_, found := a.first()
	require.False(t, found)
	require.True(t, a.add(8, time.Second))
}
