package limiter_test

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/limiter"
)

func ExampleLimiter_Admit() {
	l := limiter.New()
	now := time.Unix(0, 0)
	for range 3 {
		switch v := l.Admit("engine-1", 2, time.Second, now).(type) {
		case limiter.Granted:
			fmt.Println("send in", v.Wait().Round(time.Millisecond))
		case limiter.Declined:
			fmt.Println("next turn in", v.Wait().Round(time.Millisecond))
		}
	}
	// Output:
	// send in 0s
	// send in 526ms
	// next turn in 1.053s
}
