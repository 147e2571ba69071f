package standin2

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["prefix"] = prefixCase }

// prefixCase sends requests whose list of prompt parts stands in two lines of the header. It
// checks that the replica gets the whole list.
func prefixCase(w *world) bool {
	const first, second = "5c1e07a2:60,91bd3f06:410", "e4402b7d:640"
	w.store.put("op/config", config(1, readers("key-kept")))
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, w.startReplica(fmt.Sprintf("i-%d", i), "pisarz", 4, noteAnswer))
	}
	g := w.startGateways(1)[0]
	broken := 0
	const requests = 5
	for i := range requests {
		id := fmt.Sprintf("a%015d", i)
		lines := []string{"Model: m", "Token-Usage: 1110,171", "Prefix-Hash: " + first + "," + second}
		if *trouble {
			lines = []string{"Model: m", "Token-Usage: 1110,171", "Prefix-Hash: " + first, "Prefix-Hash: " + second}
		}
		c, err := open(g.front, 20*time.Second)
		must(err)
		a, err := c.do(request("POST", "/note/1", id, "key-kept", "n", 15*time.Second, lines...))
		_ = c.Close()
		must(err)
		if a.status != http.StatusOK {
			must(fmt.Errorf("status %d", a.status))
		}
		for _, r := range replicas {
			for _, x := range r.ran(id) {
				w.logf("%s ran at %s with the parts %q, sent were %q", id, r.id, x.prefix, first+","+second)
				if x.prefix != first+","+second {
					broken++
				}
			}
		}
	}
	w.logf("%d of %d requests ran with other parts than sent", broken, requests)
	return broken > 0
}
