package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"agent": main})
}

// Guards against a process that starts with an invalid setting, or whose error
// does not name the setting in one line.
func TestSettings(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
