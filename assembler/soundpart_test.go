package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soundCalls sends n sound calls with the shared parts "aa" and "ff" around a part of
// their own, and returns how many were served.
func (d *deployment) soundCalls(host, name string, n int) int {
	served := 0
	for i := range n {
		id := fmt.Sprint("sound-", name, "-", host, "-", i)
		if d.generate(host, id, "m/a1", "aa", fmt.Sprint("b", i%4), "ff", fmt.Sprint("e", i)) == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// quarantineFatalCalls sends calls with the fatal part between "aa" and "ff" to the hosts
// in turn until the store has a row of a part in quarantine.
func (d *deployment) quarantineFatalCalls(hosts ...string) {
	d.t.Helper()
	i := 0
	d.eventually(func() bool {
		host := hosts[i%len(hosts)]
		d.generate(host, fmt.Sprint("fatal-", i), "m/a1", "aa", fatalPart, "ff", fmt.Sprint("f", i))
		i++
		for key := range d.store.Rows("fleet") {
			if strings.HasPrefix(key, "quarantine/") {
				return true
			}
		}
		return false
	})
}

// refused reports whether a host refuses a call with the fatal part.
func (d *deployment) refused(host, id string) bool {
	return d.generate(host, "fatal-"+id+"-"+host, "m/a1", "aa", fatalPart, "ff", "f1") == http.StatusServiceUnavailable
}

// Guards against the quarantine, by a host that saw no sound calls of a route, of a sound
// part that all calls of the route share, so that all hosts refuse all of them.
func TestSoundPartUnknownToOneHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, engines := newCrashingDeployment(t)
	done := make(chan int, 1)
	go func() { done <- d.soundCalls(hostA, "beside", 30) }()
	d.quarantineFatalCalls(hostB)
	<-done
	for _, host := range []string{hostA, hostB} {
		is.True(d.soundCalls(host, "after", 10) >= 9)
		is.True(d.refused(host, "after"))
	}
	is.True(fatalCalls(engines) <= knownCrashes+maxLateCalls)
}

// Guards against the quarantine of a sound part that lasts, because the calls that would
// show the part to be sound are refused, at hosts that saw no sound call before it and at
// those that started again after it.
func TestSoundPartIsProbed(t *testing.T) {
	t.Parallel()
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d, engines := newCrashingDeployment(t)
			d.quarantineFatalCalls(hostA, hostB)
			if restart {
				d.restartAll(hostA, hostB)
			}
			d.eventually(func() bool { return d.soundCalls(hostA, "first", 1) == 1 })
			d.eventually(func() bool { return d.soundCalls(hostB, "first", 1) == 1 })
			for _, host := range []string{hostA, hostB} {
				is.True(d.soundCalls(host, "later", 10) >= 9)
				is.True(d.refused(host, "later"))
			}
			is.True(fatalCalls(engines) <= knownCrashes+maxLateCalls)
		})
	}
}
