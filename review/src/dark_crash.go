package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// crashDown is the length of "srv_crash" with "dark" in the site file.
	crashDown = 4500 * time.Millisecond
	// deadlyPeriod and deadlyInterval are how long and how often the deadly request comes.
	deadlyPeriod   = 20 * time.Second
	deadlyInterval = 700 * time.Millisecond
	settleWindow   = 3 * time.Second
	maxLateRetries = 3
)

func init() { cases["dark-crash"] = darkCrash }

// darkCrash: a request crashes each worker that begins to run it, and the worker goes silent. It
// comes again at any machine. More than settle_window_ms after the third crash it may reach
// workers in three retries at most.
func darkCrash(folder string) {
	c := newCluster(folder)
	c.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-status", "/status/", "idempotent", "order-desk", map[string]any{"max_attempts": 2})},
		[]map[string]any{{"name": "order-desk", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}}))
	var workers []*worker
	for i, zone := range []string{"bergen-a", "bergen-b", "floro", "floro"} {
		w := c.newWorker(fmt.Sprintf("i-desk%d", i+1), "order-desk", zone, 6, 24, 15*time.Millisecond)
		w.deadlyPath, w.downTime = "/status/deadly", crashDown
		w.publish()
		workers = append(workers, w)
	}
	c.addInstances([]string{"bergen-a", "bergen-b", "floro"}, func(int) string { return c.storeAddr })
	c.awaitReady()
	time.Sleep(4 * time.Second)
	end := time.Now().Add(deadlyPeriod)
	var all sync.WaitGroup
	for n := range 3 { // sound requests beside it
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("sound-%d-%d", n, i)
				c.notef("client: %s answered with %d", id, ask(c.instances[n], id, fmt.Sprintf("/status/%d-%d", n, i)))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := 0; disrupted() && time.Now().Before(end); i++ {
		inst := c.instances[rand.IntN(len(c.instances))]
		all.Go(func() {
			id := fmt.Sprintf("deadly-%d", i)
			c.notef("client: %s sent to %s", id, inst.name)
			c.notef("client: %s answered with %d", id, ask(inst, id, "/status/deadly"))
		})
		time.Sleep(deadlyInterval)
	}
	all.Wait()
	var crashes, arrivals []time.Time
	for _, w := range workers {
		crashes, arrivals = append(crashes, w.crashes...), append(arrivals, w.deadly...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.After(crashes[2].Add(settleWindow)) {
			late++
		}
	}
	summary := fmt.Sprintf("%d crashes; the request reached workers %d times, %d of them later than %v after the third crash", len(crashes), len(arrivals), late, settleWindow)
	if late > maxLateRetries {
		c.exit(1, "%s", summary)
	}
	c.exit(0, "%s", summary)
}

// ask sends a request on a new connection and returns the status of the answer, or 0.
func ask(inst *instance, id, path string) int {
	conn, err := net.DialTimeout("tcp", inst.address(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, requestText("GET", path, id, "", "X-Oleanderdale-Request-Deadline: 1000")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
