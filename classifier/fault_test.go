package classifier_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Guards against reporting NotRun for an unclassified error, whose work may have
// run.
func TestOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want classifier.Outcome
	}{
		{"plain error", errors.New("boom"), classifier.Unknown{}},
		{"deadline", context.DeadlineExceeded, classifier.Unknown{}},
		{"canceled", context.Canceled, classifier.Unknown{}},
		{"wrapped refusal", fmt.Errorf("admit: %w", classifier.NewOverloaded("full")), classifier.NotRun{}},
		{"uncertain", classifier.NewUncertain("no answer"), classifier.Unknown{}},
		{"unavailable after send", classifier.NewUnavailable("gone", classifier.MayHaveRun()), classifier.Unknown{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(classifier.Of(tt.err).Outcome(), tt.want)
		})
	}
}

// Guards against AsUnknown changing the type or the retry delay of a fault, or
// modifying the original.
func TestAsUnknown(t *testing.T) {
	faults := []classifier.Fault{
		classifier.NewInvalid("d"), classifier.NewTooLarge("d"), classifier.NewUnauthorized("d"),
		classifier.NewNotOffered("d"), classifier.NewKeyMissing("d"), classifier.NewKeyReused("d"),
		classifier.NewInProgress("d"), classifier.NewOverloaded("d", classifier.RetryAfter(time.Second)),
		classifier.NewUnavailable("d", classifier.RetryAfter(time.Second)), classifier.NewWithheld("d"),
		classifier.NewExpired("d"), classifier.NewCanceled("d"), classifier.NewStopped("d"), classifier.NewUncertain("d"),
	}
	for _, f := range faults {
		t.Run(fmt.Sprintf("%T", f), func(t *testing.T) {
			is := is.New(t)
			before := f.Outcome()
			d := classifier.AsUnknown(f)
			is.Equal(d.Outcome(), classifier.Unknown{})
			is.Equal(fmt.Sprintf("%T", d), fmt.Sprintf("%T", f))
			is.Equal(d.RetryAfter(), f.RetryAfter())
			is.Equal(f.Outcome(), before)
		})
	}
}

func ExampleNewOverloaded() {
	err := classifier.NewOverloaded("queue is full", classifier.RetryAfter(2*time.Second))
	fmt.Println(err, err.Outcome(), err.RetryAfter())
	// Output: queue is full not-run 2s
}
