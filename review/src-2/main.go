// Command review2 plays the cases of the second review: real processes of the project beside stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(c *cluster, trouble bool) bool{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		cantRun("no case %q", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; endAll(); os.Exit(2) }()
	c := newCluster(os.Args[2], os.Args[3])
	held := play(c, os.Getenv("TROUBLE") != "0")
	endAll()
	if !held {
		c.rec.say("the rule was broken")
		os.Exit(1)
	}
	c.rec.say("the rule held")
}
