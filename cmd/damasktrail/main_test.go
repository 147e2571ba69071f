package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"damasktrail": main})
}

// statuses are the answers of the servers that startServers starts, by the
// environment variable that holds the server's address.
var statuses = map[string]string{
	"ENTRY":  `{"name":"entry-1","incarnation":"x","generation":9,"members":4,"contact":1200,"open":3,"agents":[{"name":"a","state":"leaving"},{"name":"b","state":"live"}]}`,
	"NEW":    `{"name":"entry-2","incarnation":"y","generation":0,"members":0,"contact":1800000000000,"open":0,"agents":[]}`,
	"AGENT":  `{"name":"jury-1","set":"jury","generation":9,"leaving":false,"load":{"running":7,"limit":16}}`,
	"OLD":    `{"name":"jury-2","set":"jury","generation":8,"leaving":true,"load":{"running":1,"limit":16}}`,
	"SICK":   `{"name":"jury-3","set":"jury","generation":9,"leaving":false,"load":{"running":0,"limit":0}}`,
	"OTHER":  `{"status":"ok"}`,
	"SILENT": "",
}

// startServers starts a server for each status. The server of SILENT never answers.
func startServers(env *testscript.Env) error {
	for name, text := range statuses {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case text == "":
				<-r.Context().Done()
			case r.Method != http.MethodGet || r.URL.Path != "/v1/status":
				http.NotFound(w, r)
			default:
				fmt.Fprint(w, text)
			}
		}))
		env.Defer(server.Close)
		env.Setenv(name, strings.TrimPrefix(server.URL, "http://"))
	}
	return nil
}

// Guards the output and the exit codes on which operators' scripts rely.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true, Setup: startServers})
}
