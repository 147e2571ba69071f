package main

import _ "embed"

// configuration is what the operator has written.
//
//go:embed configuration.json
var configuration string

// Names of the services of the configuration.
const (
	plainService  = "wuno96b"
	engineService = "huvo11a"
)
