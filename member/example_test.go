package member_test

import (
	"fmt"

	"damasktrail.dev/document"
	"damasktrail.dev/member"
)

func Example() {
	d, _ := document.Parse([]byte(`{"generation": 1, "domains": [{"name": "ghent", "region": "be"}],
		"tiers": [{"name": "high", "rank": 0, "deadline": "30s"}], "models": [{"name": "jury", "context": 32768}],
		"sets": [{"name": "jury-a", "kind": "engine", "model": "jury", "role": "both"}]}`))
	list, _ := member.Parse([]byte(`{"version": 1, "vms": [
		{"name": "e1", "role": "entry", "address": "10.0.0.1:7000", "domain": "ghent"},
		{"name": "a1", "address": "10.0.0.2:7000", "domain": "ghent", "set": "jury-a"}]}`))
	entry, _ := list.VM("e1")
	for _, agent := range member.Subset(entry, list, d, 11) {
		fmt.Println(agent.Name, agent.Address)
	}
	// Output: a1 10.0.0.2:7000
}
