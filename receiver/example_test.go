package receiver_test

import (
	"context"
	"fmt"

	"github.com/dragonflyford/dragonflyford/receiver"
)

func ExampleReceiver_Apply() {
	r := receiver.New(limits)
	_, err := r.Apply(context.Background(), receiver.NewGeneration("reading@v1", "cheque", 500, 0))
	fmt.Println(err)

	req, err := r.Apply(context.Background(), receiver.NewGeneration("reading@v1", "cheque", 50, 0, receiver.WithRequestID("r-1")))
	fmt.Println(req.ID(), req.Target().(*receiver.GenerationTarget).Adapter(), err)
	// Output:
	// max_tokens is 500; allowed is 1 to 100
	// r-1 reading <nil>
}
