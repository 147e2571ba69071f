package document_test

import (
	"fmt"

	"damasktrail.dev/document"
)

func Example() {
	first, _ := document.Parse([]byte(`{"generation": 1, "tiers": [{"name": "high", "rank": 0, "deadline": "30s"}]}`))
	second, _ := document.Parse([]byte(`{"generation": 2, "tiers": [{"name": "high", "rank": 0, "deadline": "40s"}]}`))
	holder := document.NewHolder()
	_, _ = holder.Offer(first)
	next, _ := holder.Load().Apply(document.Compare(first, second))
	fmt.Println(holder.Offer(next))
	fmt.Println(holder.Offer(first))
	// Output:
	// true <nil>
	// false generation 1 is older than generation 2 in force
}
