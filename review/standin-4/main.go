// Command standin-4 plays the cases of the review from review/15 on: it starts the product's
// processes and has the stand-ins for the platform, the replicas and the requesters. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// play is what a case gets.
type play struct {
	// root is the root of the repository, temp a temporary folder.
	root, temp string
	trouble    bool
	record     *recorder
	gateways   []*gateway
	// sentTo has the name of the gateway that each request was sent to, by its ID.
	sentTo sync.Map
}

// outcome is the result of a case.
type outcome struct {
	broken  bool
	verdict string
}

var cases = map[string]func(*play) (outcome, error){
	"restored-store": restoredStore,
	"bad-request":    badRequest,
	"old-list":       oldList,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-4 CASE ROOT RECORD")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temp)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", temp)
	}
	p := &play{root: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: &recorder{w: bufio.NewWriter(file), start: time.Now()}}
	if _, err := os.Stat(filepath.Join(p.root, "target", "gateway")); err != nil {
		fmt.Fprintln(os.Stderr, "target/gateway is missing: run the build of the deploy file")
		return 2
	}
	defer p.record.w.Flush()
	defer func() {
		for _, g := range p.gateways {
			g.kill()
		}
	}()
	res, err := cases[os.Args[1]](p)
	if err != nil {
		p.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	p.record.printf("%s", res.verdict)
	fmt.Println(res.verdict)
	if res.broken {
		return 1
	}
	return 0
}

// fleet makes gateways, one for each zone that is named, which know each other as seeds.
func (p *play) fleet(zones ...string) {
	callers, ready, control := freePort("127.0.0.1"), freePort("127.0.0.1"), freePort("127.0.0.1")
	var seeds []string
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.44.%d", i+1), callers: callers, ready: ready, control: control}
		p.gateways = append(p.gateways, g)
		if i < 3 {
			seeds = append(seeds, g.controlAddr())
		}
	}
	for _, g := range p.gateways {
		g.seeds = seeds
	}
}

// startFleet starts the gateways and waits until they are ready.
func (p *play) startFleet(storeAddress string) error {
	for _, g := range p.gateways {
		if err := g.writeSettings(p.temp, storeAddress); err != nil {
			return err
		}
		if err := g.start(p.root, p.temp); err != nil {
			return err
		}
	}
	for _, g := range p.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
