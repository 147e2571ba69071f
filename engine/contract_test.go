package engine_test

import (
	"net/http"
	"testing"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/engine/enginetest"
	"damasktrail.dev/standin"
)

// Guards against a client that breaks the contract of damasktrail.Engine with any
// kind of endpoint that the design page describes.
func TestContract(t *testing.T) {
	tests := map[string]struct {
		options  standin.EndpointOptions
		settings engine.Settings
	}{
		"fencing":             {options: standin.EndpointOptions{Fencing: true}},
		"no fencing":          {},
		"kept connections":    {settings: engine.Settings{IdleTimeout: 1e9}},
		"service":             {standin.EndpointOptions{Kind: standin.KindService}, engine.Settings{Service: true}},
		"service, kept conns": {standin.EndpointOptions{Kind: standin.KindService}, engine.Settings{Service: true, IdleTimeout: 1e9}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			enginetest.Run(t, func(base string, c *http.Client, clock damasktrail.Clock) damasktrail.Engine {
				return engine.New(base, c, clock, tt.settings)
			}, tt.options)
		})
	}
}
