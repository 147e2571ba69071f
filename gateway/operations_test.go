package gateway_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log message or a metric that docs/OPERATIONS.md does not
// explain.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	patterns := []*regexp.Regexp{
		regexp.MustCompile(`log\.(?:Info|Warn|Error|Debug)(?:Context\(telemetry\.Routine, |\()"([^"]+)"`),
		regexp.MustCompile(`\.(?:Count|Latency|Gauge|Ratio)\("([^"]+)"`),
	}
	found := 0
	for _, dir := range []string{"../gateway", "../catalog", "../exchange", "../coordinator", "../cmd/gateway"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, p := range patterns {
				for _, m := range p.FindAllStringSubmatch(string(text), -1) {
					found++
					name := m[1]
					require.True(t, strings.Contains(string(page), "`"+name+"`") || strings.Contains(string(page), "damasktrail_"+name),
						"%q of %s is not in docs/OPERATIONS.md", name, file)
				}
			}
		}
	}
	require.Greater(t, found, 25)
}
