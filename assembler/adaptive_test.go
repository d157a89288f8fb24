package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// Guards against adaptive limits that work alone but not on the path of a call: calls that
// are lost or run twice under more load than an endpoint takes, or an endpoint that is not
// used any more afterwards.
func TestAdaptiveLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.paced = true
	d.addEndpoint(emulator.NewEndpoint("i-plain2", emulator.NewServiceOptions(10*time.Millisecond)), "ledger")
	d.start(hostA)
	d.start(hostB)
	var answered, refused, other atomic.Int64
	var calls sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for i := range 200 {
		host := []string{hostA, hostB}[i%2]
		calls.Go(func() {
			status, _, err := d.call(client, host, fmt.Sprint("burst-", i), "/post/x", "")
			switch {
			case err == nil && status == http.StatusOK:
				answered.Add(1)
			case err == nil && status >= http.StatusInternalServerError: // refused, or late on a slow machine
				refused.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	calls.Wait()
	is.Equal(other.Load(), int64(0))
	is.Equal(answered.Load()+refused.Load(), int64(200))
	is.True(answered.Load() > 0)
	for _, n := range d.plain.Runs() {
		is.Equal(n, 1)
	}
	for _, host := range []string{hostA, hostB} {
		d.eventually(func() bool {
			status, _, err := d.call(client, host, "after-"+host, "/look/x", "")
			return err == nil && status == http.StatusOK
		})
	}
	t.Logf("answered %d, refused %d", answered.Load(), refused.Load())
}
