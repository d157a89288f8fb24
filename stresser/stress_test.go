package stresser_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// The clients of one kind send some 150 MB at once to a host of 96 MB. The clients of
// all kinds are more than the host has descriptors.
const (
	clientsOfOneKind = 160
	clientsOfEach    = 110 // of all kinds at once
	// answerTime is a limit against hanging, not an expectation.
	answerTime = 30 * time.Second
)

var testLimits = limits{memoryMB: 96, descriptors: 512, bodyBytes: 1 << 20, headerBytes: 8 << 10, headerTime: time.Second}

// Guards against clients whose requests exceed the limits or stop short of their end, and
// that thereby take the memory or the descriptors of a host, or end its process, or keep
// others from an answer.
func TestClients(t *testing.T) {
	all := kinds(testLimits.bodyBytes)
	for _, k := range all {
		t.Run(k.name, func(t *testing.T) { withstand(t, clientsOfOneKind, k) })
	}
	t.Run("all kinds", func(t *testing.T) { withstand(t, clientsOfEach, all...) })
}

// withstand starts n clients of each kind and, once they have sent what they send, an
// ordinary call.
func withstand(t *testing.T, n int, list ...kind) {
	h := startHost(t, testLimits)
	ctx, cancel := context.WithCancel(t.Context())
	var c clients
	defer c.running.Wait()
	defer cancel()
	for _, k := range list {
		c.start(ctx, k, h.port(0), n)
	}
	c.sending.Wait()
	h.checkOrdinaryCall(t)
	h.waitUntilRead(t)
	h.checkBounds(t)
}

// waitUntilRead waits until the peak memory has been the same for a second, because what
// clients have sent may still be in buffers of the kernel.
func (h *host) waitUntilRead(t *testing.T) {
	t.Helper()
	last, since := 0, time.Now()
	for deadline := since.Add(10 * time.Second); time.Since(since) < time.Second && time.Now().Before(deadline) && h.alive(); {
		if memory := h.peakMemory(t); memory != last {
			last, since = memory, time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkOrdinaryCall sends a call as an ordinary caller does, again after refusals and
// broken connections, until it is answered.
func (h *host) checkOrdinaryCall(t *testing.T) {
	t.Helper()
	last := "none was sent"
	for i, deadline := 0, time.Now().Add(answerTime); time.Now().Before(deadline); i++ {
		status, pause, err := h.call(t.Context(), fmt.Sprint("ordinary-", i), "body", 0)
		if status == http.StatusOK && err == nil {
			t.Logf("ordinary call answered at try %d", i+1)
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		time.Sleep(max(pause, 100*time.Millisecond))
	}
	t.Errorf("no ordinary call was answered within %v: the last one: %s\n%s", answerTime, last, h.logTail())
}

// call sends a call with a header field of the given length and returns the status and
// the pause that a refusal asks for.
func (h *host) call(ctx context.Context, id, body string, fieldLength int) (int, time.Duration, error) {
	req, err := emulator.NewCall(id, "h", "/post/x", body, 5*time.Second, "").Request(ctx, h.port(0))
	if err != nil {
		return 0, 0, err
	}
	if fieldLength > 0 {
		req.Header.Set("X-Filler", strings.Repeat("f", fieldLength))
	}
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without the header
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(answer) != "answer to "+id {
		err = fmt.Errorf("unexpected answer %q", answer)
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), err
}

// checkBounds checks that the process lives and kept its bounds.
func (h *host) checkBounds(t *testing.T) {
	t.Helper()
	if !h.alive() {
		t.Fatalf("the process has ended\n%s", h.logTail())
	}
	memory := h.peakMemory(t)
	t.Logf("peak memory %d KiB of %d KiB, at most %d of %d descriptors", memory, h.memoryMB<<10, h.maxFiles.Load(), h.descriptors)
	if memory > h.memoryMB<<10 {
		t.Errorf("peak memory is %d KiB, limits.memory_mb allows %d KiB", memory, h.memoryMB<<10)
	}
	if h.maxFiles.Load() >= int64(h.descriptors) {
		t.Errorf("%d descriptors were open, the limit is %d", h.maxFiles.Load(), h.descriptors)
	}
}

// Guards against limits that refuse a single call of the largest body and header to the
// host with the least memory, sent at once or slowly.
func TestLargestCall(t *testing.T) {
	smallest := limits{memoryMB: 184, descriptors: 4100, bodyBytes: 4 << 20, headerBytes: 16 << 10, headerTime: 3 * time.Second}
	const otherFields = 512 // bytes of the request line and of the other fields
	h := startHost(t, smallest)
	status, _, err := h.call(t.Context(), "largest", strings.Repeat("b", smallest.bodyBytes), smallest.headerBytes-otherFields)
	if err != nil || status != http.StatusOK {
		t.Errorf("largest call: status %d, error %v\n%s", status, err, h.logTail())
	}
	if status, err := h.callSlowly(t, smallest.bodyBytes); err != nil || status != http.StatusOK {
		t.Errorf("largest call sent slowly: status %d, error %v\n%s", status, err, h.logTail())
	}
	h.checkBounds(t)
}

// callSlowly sends a body in pieces over several seconds.
func (h *host) callSlowly(t *testing.T, length int) (int, error) {
	t.Helper()
	req, err := emulator.NewCall("slow", "h", "/post/x", "", 8*time.Second, "").Request(t.Context(), h.port(0))
	if err != nil {
		return 0, err
	}
	const pieces = 16
	reader, writer := io.Pipe()
	req.Body, req.ContentLength = reader, int64(length)
	go func() {
		piece := []byte(strings.Repeat("s", length/pieces))
		for range pieces {
			time.Sleep(250 * time.Millisecond)
			if _, err := writer.Write(piece); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	_ = reader.Close()
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
