package quarantiner_test

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/quarantiner"
	"github.com/dragonflyford/dragonflyford/router"
)

func ExampleQuarantiner() {
	now := time.Unix(0, 0)
	history := quarantiner.NewHistory(now)
	q := quarantiner.New(history)
	for _, process := range []string{"engine-1", "engine-2", "engine-3"} {
		q.RecordLoss(process, []router.PromptPart{"system", "page"}, now)
		now = now.Add(time.Second)
		history.RecordOutput([]router.PromptPart{"system", "other"}, now)
	}
	fmt.Println(q.Judge(now))
	// Output: [page]
}
