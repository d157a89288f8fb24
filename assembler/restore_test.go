package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// inForceTime is the stated bound on the time until a host follows a confirmed change.
const inForceTime = 2500 * time.Millisecond

// writeFiller writes n rows that no host reads, so that the versions of the store rise.
func (d *deployment) writeFiller(n int) {
	for i := range n {
		d.store.Set("other", fmt.Sprint("row-", i), nil)
	}
}

// Guards against hosts that miss what is written after the store has come back from an
// older copy, because its versions are lower than those that they have read, or because
// they have already passed those: a configuration, or an endpoint that leaves.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		extra int // versions that are given out again before the hosts reach the store
	}{
		{"versions are behind", 0},
		{"versions have caught up", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			for _, host := range []string{hostA, hostB} {
				d.start(host)
			}
			time.Sleep(time.Second)
			saved := d.store.Copy()
			d.writeFiller(100)
			d.configure(2, "/llm/", "/post/", "/look/")
			time.Sleep(time.Second)

			d.store.Inject(emulator.Down{})
			time.Sleep(500 * time.Millisecond)
			d.store.Restore(saved)
			d.configure(3, "/llm/", "/post/", "/new/")
			d.setEntry(d.plain, "ledger", "draining")
			d.writeFiller(tt.extra)
			d.store.Inject(emulator.HealthyStore{})
			time.Sleep(inForceTime)

			client := &http.Client{}
			before := len(d.plain.Arrivals())
			for i, host := range []string{hostA, hostB} {
				status, _, err := d.call(client, host, fmt.Sprint("old", i), "/look/x", "")
				is.NoErr(err)
				is.Equal(status, http.StatusNotFound) // the route is gone
				status, _, err = d.call(client, host, fmt.Sprint("new", i), "/new/x", "")
				is.NoErr(err)
				is.Equal(status, http.StatusServiceUnavailable) // its only endpoint leaves
			}
			is.Equal(len(d.plain.Arrivals()), before)
		})
	}
}

// Guards against a host that cannot renew its lease, and so gives no more orders, after
// the store has come back from an older copy.
func TestLeaseAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.start(hostA)
	client := &http.Client{}
	d.eventually(func() bool {
		status, _, _ := d.call(client, hostA, "first", "/llm/x", "m/a1")
		return status == http.StatusOK
	})
	saved := d.store.Copy()
	d.writeFiller(500)
	time.Sleep(time.Second) // the host renews its row
	d.store.Restore(saved)
	time.Sleep(4 * time.Second) // longer than a lease
	for i := range 3 {
		status, body, err := d.call(client, hostA, fmt.Sprint("after", i), "/llm/x", fmt.Sprint("m/b", i))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, "data:"))
	}
}
