package assembler_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// begin starts a stream at a host and leaves it after its first events.
func (d *deployment) begin(host, id string) error {
	ctx, cancel := context.WithCancel(d.t.Context())
	defer cancel()
	req, err := emulator.NewCall(id, "h", "/llm/x", "body", 5*time.Second, "").Request(ctx, d.listenAddress(host, 0))
	if err != nil {
		return err
	}
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: 2") {
			return nil
		}
	}
	return fmt.Errorf("stream %s with status %d ends early", id, resp.StatusCode)
}

// resume takes a stream up at a host and returns the status.
func (d *deployment) resume(host, id, stream string) (int, error) {
	req, err := emulator.NewCall(id, "h", "/llm/x", "body", 5*time.Second, "").Resuming(stream, 2).Request(d.t.Context(), d.listenAddress(host, 0))
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against a stream that its caller resumes at another software version than the one
// that began it, after all hosts have started again, also if the old version has left; and
// against rows for streams in the store while one version serves.
func TestStreamsKeepSoftware(t *testing.T) {
	t.Parallel()
	for _, oldLeaves := range []bool{false, true} {
		t.Run(fmt.Sprint("old version leaves: ", oldLeaves), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			second := emulator.NewEndpoint("i-second", emulator.NewStreamOptions(20*time.Millisecond, 40))
			d.addEndpoint(second, "streams")
			first := emulator.NewEndpoint("i-first", emulator.NewStreamOptions(20*time.Millisecond, 40))
			d.addEndpoint(first, "streams")
			d.configureStreams(2)
			hosts := []string{hostA, hostB}
			for _, host := range hosts {
				d.start(host)
			}
			time.Sleep(3500 * time.Millisecond) // all hosts know the version that serves
			for i, host := range hosts {
				is.NoErr(d.begin(host, fmt.Sprint("before-", i)))
			}
			is.Equal(len(d.store.Rows("streams")), 0)

			second.SetSoftware("v2")
			second.Restart()
			d.setEntry(second, "streams", "ready")
			time.Sleep(knownTime) // streams begin at the new version once all hosts know it
			var streams []string
			var callers sync.WaitGroup
			for i := range 8 { // at once, so that both endpoints get some
				id := fmt.Sprint("mixed-", i)
				callers.Go(func() {
					if err := d.begin(hosts[i%2], id); err != nil {
						t.Error(err)
					}
				})
				streams = append(streams, id)
			}
			callers.Wait()
			streams = append(streams, "before-0", "before-1")
			is.True(len(d.store.Rows("streams")) > 0)
			if oldLeaves {
				d.store.Remove("servers", first.ID())
			}
			d.restartAll(hosts...)
			resumed := 0
			for i, stream := range streams {
				again := fmt.Sprint("again-", i)
				status, err := d.resume(hosts[i%2], again, stream)
				is.NoErr(err)
				newer := second.Runs()[stream] > 0 && !strings.HasPrefix(stream, "before")
				if newer && first.Runs()[again] > 0 || !newer && second.Runs()[again] > 0 {
					t.Errorf("stream %s goes on at another version", stream)
				}
				if status == http.StatusOK {
					resumed++
				}
			}
			if !oldLeaves {
				is.Equal(resumed, len(streams))
			}
		})
	}
}
