package supplier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/supplier"
)

// served counts the calls of a workspace.
type served struct{ requests, granted int }

func (s served) rate() float64 { return float64(s.granted) / float64(max(s.requests, 1)) }

func reserveFor(t *testing.T, s *supplier.Supplier, w sharer.Workspace, prompt, output int) supplier.ReserveResponse {
	t.Helper()
	return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSize(prompt, output, 450*time.Millisecond), supplier.WithWorkspace(w)))
}

const reasonOverShare = "workspace is above its share of the engine"

// Guards against a workspace at 12 times its load that takes nearly all slots of an engine,
// because each of its calls comes just before one of another workspace, which is then
// served less than a quarter as often as all workspaces together. Guards also against a
// call that is declined because of the share although the engine could start it at once.
func TestHotWorkspaceDoesNotDisplaceOthers(t *testing.T) {
	const (
		others   = 4 // with one call a second each
		load     = 12
		interval = time.Second / load
		rounds   = 60
	)
	tests := []struct {
		name           string
		prompt, output int     // average tokens of a call
		capacity       float64 // calls a second
	}{
		{"job slots are scarce", 10, 100, jobs / 1.4},
		{"prefills are scarce", 3000, 1, 1 / 0.15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
				e.resident[model(1)] = 1
				time.Sleep(time.Second)
				var counts [others + 1]served // the last one is the hot workspace
				request := func(n int) {
					counts[n].requests++
					percent := 70 + 23*counts[n].requests%60 // calls differ in size
					w := sharer.NewWorkspace(fmt.Sprint("w", n), 1)
					switch resp := reserveFor(t, s, w, tt.prompt*percent/100, tt.output*percent/100).(type) {
					case supplier.Granted:
						counts[n].granted++
					case supplier.Declined:
						if resp.Reason() == reasonOverShare {
							short := supplier.NewReserveRequest("e1", model(1), supplier.WithSize(10, 1, 0))
							_, startsAtOnce := s.Reserve(t.Context(), short).(supplier.Granted)
							is.True(!startsAtOnce)
						}
					}
				}
				for i := range rounds * load {
					request(others)
					if n := i % load; n < others {
						request(n)
					}
					time.Sleep(interval)
				}
				var all served
				for _, c := range counts {
					all.requests += c.requests
					all.granted += c.granted
				}
				t.Logf("workspaces %v, all together %v", counts, all)
				for _, c := range counts {
					is.True(c.rate() >= 0.25*all.rate())
				}
				is.True(counts[others].granted < all.granted*3/4)
				is.True(float64(all.granted) >= 0.9*rounds*tt.capacity) // no slots stay empty
			})
		})
	}
}

// Guards against a share that declines a call although the engine could start it at once,
// and against a reason that does not say why a waiting call was declined.
func TestShareConcernsOnlyWaitingCalls(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.resident[model(1)] = 1
		time.Sleep(time.Second)
		hot, other := sharer.NewWorkspace("hot", 1), sharer.NewWorkspace("other", 1)
		grants := func(w sharer.Workspace) bool {
			_, ok := reserveFor(t, s, w, 10, 100).(supplier.Granted)
			time.Sleep(10 * time.Millisecond)
			return ok
		}
		is.True(grants(other))
		for range jobs - 1 {
			is.True(grants(hot)) // far above its share
		}
		time.Sleep(1050 * time.Millisecond) // the first job ends in some 270 ms
		declined, ok := reserveFor(t, s, hot, 10, 100).(supplier.Declined)
		is.True(ok)
		is.Equal(declined.Reason(), reasonOverShare)
		is.True(!declined.Full())
		is.True(declined.Wait() > 200*time.Millisecond && declined.Wait() < 450*time.Millisecond)
		is.True(grants(sharer.Workspace{}))
		is.True(grants(sharer.NewWorkspace("hot", 2))) // no other workspace of its priority
	})
}
