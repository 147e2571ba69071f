package main

import (
	_ "embed"
	"encoding/json"
)

// names are the names of the users' platform that the stand-ins use.
type names struct {
	ID            string `json:"id"`
	Signature     string `json:"signature"`
	Replica       string `json:"replica"`
	Load          string `json:"load"`
	NotRun        string `json:"notRun"`
	Deadline      string `json:"deadline"`
	Key           string `json:"key"`
	Cold          string `json:"cold"`
	Configuration string `json:"configuration"`
	Read          string `json:"read"`
	Range         string `json:"range"`
	Watch         string `json:"watch"`
}

var (
	//go:embed wire.json
	wireData []byte
	//go:embed configuration.json
	configuration json.RawMessage
	wire          = decodeNames(wireData)
)

func decodeNames(data []byte) (res names) {
	if err := json.Unmarshal(data, &res); err != nil {
		panic(err)
	}
	return res
}
