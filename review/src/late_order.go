package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// orderDelay is when the order without an answer is carried out: 2 to 12 s later.
	orderDelay = 11 * time.Second
	// engineDown is how long the engine that crashes is down, as "srv_crash" in the site file.
	engineDown = 4500 * time.Millisecond
	modelCount = 16
	swapPeriod = 40 * time.Second
)

func init() { cases["late-order"] = lateOrder }

// lateOrder: an engine crashes as it gets an order to load a model, which gets no answer. It
// starts again with the same ID, empty, and is filled again. The order is carried out late: its
// precondition holds, since the count of orders has started anew, and the memory is full.
func lateOrder(folder string) {
	c := newCluster(folder)
	var models []map[string]any
	var all []string
	for i := range modelCount {
		name := fmt.Sprintf("m%02d", i)
		all = append(all, name)
		models = append(models, map[string]any{"name": name, "weights_mb": modelMB, "load_s": 6.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": modelWarm.Seconds(), "disk_s": modelDisk.Seconds()})
	}
	c.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-brief", "/brief/", "stream", "dispatch-llm", map[string]any{"timeout_ms": 5000, "target_latency_ms": 250, "max_attempts": 2, "resumable": true, "sticky": true, "gap_aim_ms": 250, "priority": 0})},
		[]map[string]any{{"name": "dispatch-llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": engineSlots, "kv_capacity": 250676, "weights_mb": engineMemoryMB, "adapter_slots": 8, "loads_per_s": 4.2, "models": models,
		}}}))
	var taken atomic.Bool
	var target atomic.Pointer[engine]
	onOrder := func(e *engine, o order) bool {
		if !disrupted() || o.Op != "load" || o.Precondition == nil || *o.Precondition != 3 || taken.Swap(true) {
			return false
		}
		c.notef("%s: order load %s, precondition 3, gets no answer", e.id, o.Model)
		target.Store(e)
		go e.crash(engineDown)
		time.AfterFunc(orderDelay, func() { e.carryOut(o, ", carried out late") })
		return true
	}
	var engines []*engine
	for i, zone := range []string{"bergen-a", "bergen-b", "floro", "floro"} {
		engines = append(engines, c.newEngine(fmt.Sprintf("i-llm%d", i+1), "dispatch-llm", zone, all[3*i:3*i+3], all, onOrder))
	}
	c.addInstances([]string{"bergen-a", "bergen-b", "floro"}, func(int) string { return c.storeAddr })
	c.awaitReady()
	time.Sleep(5 * time.Second)
	// The demand moves on over the models, so that engines swap them.
	swapUntil := time.Now().Add(swapPeriod)
	if !disrupted() {
		swapUntil = time.Now().Add(swapPeriod / 2)
	}
	wanted := ""
	for i := 0; time.Now().Before(swapUntil) && target.Load() == nil; i++ {
		wanted = all[(12+i)%modelCount]
		id := fmt.Sprintf("brief-%d", i)
		c.notef("client: %s for %s answered with %d", id, wanted, askModel(c.instances[i%3], id, wanted))
		time.Sleep(300 * time.Millisecond)
	}
	if disrupted() && target.Load() == nil {
		c.exit(2, "no engine got an order to load with precondition 3")
	}
	ended := time.Now().Add(orderDelay + time.Second)
	if e := target.Load(); e != nil { // its caller asks again, until another engine has the model
		for i := 0; time.Until(ended) > 6*time.Second; i++ {
			id := fmt.Sprintf("again-%d", i)
			status := askModel(c.instances[i%3], id, wanted)
			c.notef("client: %s for %s answered with %d", id, wanted, status)
			if status == 200 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(ended))
	var over []string
	for _, e := range engines {
		e.mu.Lock()
		c.notef("%s: sequence %d, holds %v", e.id, e.sequence, names(e.models))
		over = append(over, e.over...)
		e.mu.Unlock()
	}
	if len(over) > 0 {
		c.exit(1, "%s", over[0])
	}
	c.exit(0, "no engine was ordered to load more than it holds")
}

// askModel sends a stream request and returns the status of the answer, or 0.
func askModel(inst *instance, id, model string) int {
	conn, err := net.DialTimeout("tcp", inst.address(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	text := requestText("POST", "/brief/x", id, "brief", "X-Oleanderdale-Request-Deadline: 5000", "X-Oleanderdale-Model: "+model,
		"X-Oleanderdale-Token-Usage: 646,70", "X-Oleanderdale-Prompt-Prefix: 5c1e07a2:155,91bd3f06:491")
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
