package main

import (
	_ "embed"
	"encoding/json"
)

// wireJSON has the names of headers, keys and paths of the users' platform.
//
//go:embed wire.json
var wireJSON []byte

// wire has the names of wire.json by a short name.
var wire = func() map[string]string {
	var res map[string]string
	if err := json.Unmarshal(wireJSON, &res); err != nil {
		panic(err)
	}
	return res
}()
