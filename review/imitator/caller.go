package imitator

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// HostName is the host that the routes of a deployment are of.
const HostName = "ficu95.example"

var attempts atomic.Int64

// NewAttempt returns the id of a new attempt of a requester.
func NewAttempt() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// NewClient returns a client that keeps its connections open and resends nothing.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 100, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
	}}
}

// Reply is how an attempt ended at the requester.
type Reply struct {
	Status     int // 0 if the connection failed or ended before an answer
	RetryAfter time.Duration
	Complete   bool  // the whole answer came
	Events     int   // complete events of a stream
	LastEvent  int   // id of the last one
	Err        error // why the answer is not complete
}

// Do sends a call to the front address of a host and reads the answer.
func Do(ctx context.Context, client *http.Client, address string, call emulator.Call, budget time.Duration) Reply {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	reply := Reply{LastEvent: -1}
	req, err := call.Request(ctx, address)
	if err != nil {
		reply.Err = err
		return reply
	}
	resp, err := client.Do(req)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer func() { _ = resp.Body.Close() }()
	reply.Status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	id := -1
	for {
		line, err := lines.ReadString('\n')
		if value, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			id, _ = strconv.Atoi(strings.TrimSpace(value)) // the workers write numbers
		}
		if line == "\n" && id >= 0 {
			reply.Events++
			reply.LastEvent, id = id, -1
		}
		if err != nil {
			reply.Complete = err.Error() == "EOF"
			reply.Err = err
			return reply
		}
	}
}
