package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	orderClients = 48
	orderWork    = 15 * time.Millisecond
	orderPause   = 5 * time.Millisecond // mean, of a client between two orders
	// The dose of "garble" with "extra late" in the site file.
	extraShare  = 0.03
	extraPeriod = 5 * time.Second
)

func init() { cases["late-extra"] = lateExtra }

// lateExtra: a second copy of a rejection arrives where the answer to the next request is
// expected. That request runs, and must not be sent to another worker.
func lateExtra(folder string) {
	c := newCluster(folder)
	c.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-orders", "/orders/", "non_idempotent", "order-desk", nil)},
		[]map[string]any{{"name": "order-desk", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}}))
	var workers []*worker
	for i, zone := range []string{"bergen-a", "bergen-b", "floro", "floro"} {
		w := c.newWorker(fmt.Sprintf("i-desk%d", i+1), "order-desk", zone, 6, 2, orderWork)
		w.connectionHold, w.closeShare = time.Millisecond, 0.1
		w.publish()
		workers = append(workers, w)
	}
	c.addInstances([]string{"bergen-a", "bergen-b", "floro"}, func(int) string { return c.storeAddr })
	c.awaitReady()
	time.Sleep(3 * time.Second)
	if disrupted() {
		for _, w := range workers[:2] { // share 0.5
			w.extraShare.Store(extraShare)
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	end := time.Now().Add(extraPeriod)
	for n := range orderClients {
		all.Go(func() {
			client := &orderClient{c: c, instances: c.instances}
			defer client.close()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%08x%04d%04d", rand.Uint32(), n, i)
				status := client.send(id)
				mu.Lock()
				answers[id] = status
				mu.Unlock()
				time.Sleep(time.Duration(rand.Int64N(int64(2 * orderPause))))
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	twice, refused, rejected, extras := 0, 0, 0, 0
	for id, status := range answers {
		runs := 0
		for _, w := range workers {
			runs += w.runCount(id)
		}
		if runs > 1 {
			twice++
			c.notef("%s was sent once, ran %d times, and was answered with %d", id, runs, status)
		}
		if runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			refused++
			c.notef("%s ran and was answered with %d", id, status)
		}
	}
	for _, w := range workers {
		rejected += w.rejected
		extras += w.extras
	}
	summary := fmt.Sprintf("%d orders, %d rejections by workers, %d second copies; %d orders ran more than once, %d were refused and ran", len(answers), rejected, extras, twice, refused)
	if rejected == 0 {
		c.exit(2, "no worker was ever full: %s", summary)
	}
	if twice > 0 {
		c.exit(1, "%s", summary)
	}
	c.exit(0, "%s", summary)
}

// orderClient sends one order at a time on a kept connection.
type orderClient struct {
	c         *cluster
	instances []*instance
	conn      net.Conn
	reader    *bufio.Reader
}

func (o *orderClient) close() {
	if o.conn != nil {
		_ = o.conn.Close()
		o.conn = nil
	}
}

// send sends an order and returns the status of the answer, or 0.
func (o *orderClient) send(id string) int {
	if o.conn == nil {
		conn, err := net.DialTimeout("tcp", o.instances[rand.IntN(len(o.instances))].address(), time.Second)
		if err != nil {
			return 0
		}
		o.conn, o.reader = conn, bufio.NewReader(conn)
	}
	_ = o.conn.SetDeadline(time.Now().Add(2 * time.Second))
	o.c.notef("client: %s sent", id)
	if _, err := io.WriteString(o.conn, requestText("POST", "/orders/new", id, "order "+id, "X-Oleanderdale-Request-Deadline: 1000")); err != nil {
		o.close()
		return 0
	}
	resp, err := http.ReadResponse(o.reader, nil)
	if err != nil {
		o.close()
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	o.c.notef("client: %s answered with %d", id, resp.StatusCode)
	if after, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
		defer time.Sleep(min(time.Second, time.Duration(after*float64(time.Second))))
	}
	if err != nil || resp.Close {
		o.close()
	}
	return resp.StatusCode
}
