package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

const (
	fatalPart = "dead1"
	// learnTime is how long a host may take to learn of a fatal part that others know.
	learnTime = 4 * time.Second
	// Of the calls with a fatal part, at most maxLateCalls may reach engines later than
	// learnTime after the crash number knownCrashes.
	knownCrashes = 5
	maxLateCalls = 3
)

// newCrashingDeployment returns a deployment whose four engines crash on fatalPart,
// with two running hosts, each of which has been served.
func newCrashingDeployment(t *testing.T) (*deployment, []*emulator.Endpoint) {
	t.Helper()
	d := newDeployment(t)
	engines := []*emulator.Endpoint{d.engine, d.addEngine("i-engine-2"), d.addEngine("i-engine-3"), d.addEngine("i-engine-4")}
	for _, e := range engines {
		e.Inject(emulator.NewCrashesOnPart(fatalPart, func() { d.setEntry(e, "llm", "ready") }))
	}
	for _, host := range []string{hostA, hostB} {
		d.start(host)
	}
	for _, host := range []string{hostA, hostB} {
		d.eventually(func() bool { return d.generate(host, "first-"+host, "m/a0", "aa", "bb", "cc") == http.StatusOK })
	}
	return d, engines
}

// generate sends a generation with a prompt of the given parts and returns the status
// of a complete answer, or 0.
func (d *deployment) generate(host, id, model string, parts ...string) int {
	status, _, err := d.send(http.DefaultClient, host, emulator.NewCall(id, "h", "/llm/x", "body of "+id, 5*time.Second, model).WithPrompt(parts...))
	if err != nil {
		return 0
	}
	return status
}

// fatalCalls returns how many calls with a fatal part reached engines.
func fatalCalls(engines []*emulator.Endpoint) int {
	n := 0
	for _, e := range engines {
		for id, runs := range e.Runs() {
			if len(id) > 5 && id[:5] == "fatal" {
				n += runs
			}
		}
	}
	return n
}

// sendFatalCalls sends calls with a fatal part, no two of them alike, and sound ones that
// begin like them, and checks how many of the fatal ones reach engines.
func (d *deployment) sendFatalCalls(engines []*emulator.Endpoint, hosts ...string) {
	d.t.Helper()
	var known time.Time // when the part had crashed enough engines
	early, served := 0, 0
	for i := range 28 {
		host := hosts[i%len(hosts)]
		d.generate(host, fmt.Sprint("fatal-", i), fmt.Sprint("m/a", i%4), "aa", "bb", fatalPart, fmt.Sprint("f", i))
		n := fatalCalls(engines)
		if n >= knownCrashes && known.IsZero() {
			known = time.Now()
		}
		if known.IsZero() || time.Since(known) <= learnTime {
			early = n
		}
		if d.generate(host, fmt.Sprint("sound-", i), fmt.Sprint("m/a", i%4), "aa", "bb", fmt.Sprint("e", i)) == http.StatusOK {
			served++
		}
	}
	if late := fatalCalls(engines) - early; late > maxLateCalls {
		d.t.Errorf("%d calls with a fatal part reached engines after %d crashes and %v, at most %d may", late, knownCrashes, learnTime, maxLateCalls)
	}
	if served < 10 {
		d.t.Errorf("%d of 28 sound calls were served", served)
	}
}

// Guards against calls with one part in their prompts, no two of them alike, that
// crash one engine after another, and against refusing other calls that begin alike.
func TestFatalPromptPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, engines := newCrashingDeployment(t)
	d.sendFatalCalls(engines, hostA, hostB)
	before := fatalCalls(engines)
	for i, host := range []string{hostA, hostB} {
		is.Equal(d.generate(host, fmt.Sprint("fatal-last-", i), "m/a1", "aa", "bb", fatalPart, "ff"), http.StatusServiceUnavailable)
		d.eventually(func() bool {
			return d.generate(host, fmt.Sprint("sound-last-", i), "m/a1", "aa", "bb", fmt.Sprint("e", i)) == http.StatusOK
		})
	}
	is.Equal(fatalCalls(engines), before)
}

// Guards against a host that joins, or restarts together with all others, and sends
// calls with a part that the others know to crash engines.
func TestFatalPromptPartAfterRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, engines := newCrashingDeployment(t)
	d.sendFatalCalls(engines, hostA)
	before := fatalCalls(engines)
	d.start("3")
	time.Sleep(learnTime)
	is.Equal(d.generate("3", "fatal-joined", "m/a1", "aa", "bb", fatalPart, "j"), http.StatusServiceUnavailable)
	d.restartAll(hostA, hostB, "3")
	time.Sleep(learnTime)
	for i, host := range []string{hostA, hostB, "3"} {
		is.Equal(d.generate(host, fmt.Sprint("fatal-late-", i), "m/a1", "aa", "bb", fatalPart, fmt.Sprint("l", i)), http.StatusServiceUnavailable)
	}
	is.Equal(fatalCalls(engines), before)
}
