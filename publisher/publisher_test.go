package publisher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/publisher"
)

// Guards against putting a lower epoch in force after a higher one was
// published or recorded as accepted. The lower one must be rejected and the
// state unchanged.
func TestLowerEpochIsRefused(t *testing.T) {
	is := is.New(t)
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	p := publisher.New(publisher.WithAsserter(asserts))
	at := func(epoch uint64) *bundler.Snapshot { return bundler.NewSnapshot(epoch, &bundler.Document{}) }
	is.True(p.Publish(at(5)))
	is.True(!p.Publish(at(4)))
	is.True(!p.Prepare(at(5)))
	p.RecordAccepted(7)
	is.True(!p.Publish(at(6)))
	is.Equal(p.Load().Current().Epoch(), uint64(5))
	is.True(!p.Load().UpToDate()) // epoch 7 is in force somewhere
	is.True(p.Publish(at(7)))
	is.Equal(p.Load().Current().Epoch(), uint64(7))
	is.True(asserts.Checks(asserter.EpochNeverFalls) > 0)
}
