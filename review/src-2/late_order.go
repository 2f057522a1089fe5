package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late-order"] = lateOrder }

const (
	// lateBy is how late the unanswered order is carried out; the pages give 2 to 12 s.
	lateBy = 11 * time.Second
	// engineDown is how long the engine is down that crashed as it got the order.
	engineDown = 3 * time.Second
	// restartDelay is how long after its end the killed instance is started again.
	restartDelay = time.Second
)

// planner returns the instance that plans for the fleet, as the logs say; nil: none does.
func (c *cluster) planner() *node {
	var best *node
	newest := ""
	for _, n := range c.nodes {
		log, _ := os.ReadFile(filepath.Join(n.dir, "log"))
		for _, line := range bytes.Split(log, []byte("\n")) {
			var l struct{ Message, Time, Scope string }
			if json.Unmarshal(line, &l) == nil && strings.Contains(l.Message, "planning scope changed") && l.Scope == "fleet" && l.Time > newest {
				newest, best = l.Time, n
			}
		}
	}
	return best
}

// demand asks for a model in turn until stop is closed.
func (c *cluster) demand(n *node, model func(i int64) int, every time.Duration, stop chan struct{}, number *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		i := number.Add(1)
		go func() {
			k, err := dial(n.front())
			if err != nil {
				return
			}
			defer k.Close()
			c.call(k, n, "POST", "/resume/x", fmt.Sprintf("r%d", i), fmt.Sprintf("X-Oleanderdale-Model: m%d\r\nX-Oleanderdale-Token-Usage: 100,50\r\n", model(i)), "x", 4000)
		}()
	}
}

// lateOrder plays an order to load that gets no answer, since its engine crashes, and is carried out 11 s later. The
// instance that planned it is killed, and the next planner fills the engine.
func lateOrder(c *cluster, trouble bool) bool {
	const models, engines, room = 14, 4, 3
	for i := range models {
		c.onDisk = append(c.onDisk, fmt.Sprint("m", i))
	}
	c.store.put("op", "config", manifest(1, models))
	c.addWorker(&worker{id: "i-p0", service: "plain", zone: "z2", slots: 6, work: 30 * time.Millisecond})
	for i := range engines {
		c.addWorker(&worker{id: fmt.Sprint("i-e", i), service: "llm", zone: "z2", slots: 16, events: 4, eventEvery: 20 * time.Millisecond, room: room, loadTime: 300 * time.Millisecond},
			fmt.Sprint("m", room*i), fmt.Sprint("m", room*i+1), fmt.Sprint("m", room*i+2))
	}
	// The first instance plans for the fleet; the others, in the engines' zone, give the orders.
	c.start(c.addNode("z1"))
	c.awaitReady(15*time.Second, c.nodes...)
	c.start(c.addNode("z2"))
	c.start(c.addNode("z2"))
	c.awaitReady(15*time.Second, c.nodes...)

	var once sync.Once
	crashed := make(chan *worker, 1)
	var late []byte
	c.onOrderArrives = func(w *worker, body []byte) bool {
		var o struct {
			Op, Model    string
			Precondition int64
		}
		if !trouble || json.Unmarshal(body, &o) != nil || o.Op != "load" || o.Precondition != room {
			return false
		}
		mine := false
		once.Do(func() { mine = true })
		if !mine {
			return false
		}
		late = body
		c.rec.add(event{Kind: "unanswered", Worker: w.id, Text: fmt.Sprintf("load %s with precondition %d; the worker crashes", o.Model, o.Precondition)})
		time.AfterFunc(lateBy, func() {
			w.mu.Lock()
			c.rec.add(event{Kind: "late", Worker: w.id, Text: fmt.Sprintf("load %s with precondition %d is carried out at count %d with %d models", o.Model, o.Precondition, w.sequence, len(w.models))})
			w.mu.Unlock()
			c.order(w, body)
		})
		go c.crash(w, engineDown)
		crashed <- w
		return true
	}

	var number atomic.Int64
	all := make(chan struct{})
	for _, n := range c.nodes {
		go c.demand(n, func(i int64) int { return int(i) % models }, 150*time.Millisecond, all, &number)
	}
	select {
	case w := <-crashed:
		close(all)
		c.rec.say("%s got an order that it doesn't answer, and crashes", w.id)
		p := c.planner()
		if p == nil {
			cantRun("no instance plans")
		}
		time.Sleep(100 * time.Millisecond)
		kill := os.Getenv("KILL") != "0"
		if kill {
			c.signal(p, syscall.SIGKILL)
			<-p.done
		}
		var o struct{ Model string }
		_ = json.Unmarshal(late, &o)
		wanted := 0
		_, _ = fmt.Sscanf(o.Model, "m%d", &wanted)
		// Somebody still asks for the model, which another engine gets while this one is down.
		again := make(chan struct{})
		for _, n := range c.nodes {
			if n != p {
				go c.demand(n, func(int64) int { return wanted }, 600*time.Millisecond, again, &number)
				break
			}
		}
		time.Sleep(restartDelay)
		if kill {
			c.start(p)
		}
		time.Sleep(engineDown - restartDelay - 500*time.Millisecond)
		close(again)
		time.Sleep(lateBy - engineDown + 1500*time.Millisecond)
	case <-time.After(15 * time.Second):
		close(all)
		if trouble {
			cantRun("no engine got a second order to load")
		}
	}
	c.rec.say("%d orders", len(c.rec.all("order")))
	for _, o := range c.rec.all("overfull") {
		c.rec.say("LIMIT: %s was ordered by %s to %s", o.Worker, o.Holder, o.Text)
		return false
	}
	return true
}
