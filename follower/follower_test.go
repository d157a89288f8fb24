package follower_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

// feed answers from a list of steps and then has no changes.
type feed struct {
	mu    sync.Mutex
	steps []step
	asked []string
}

type step struct {
	keys    []string
	version storer.Version
	err     error
}

func (f *feed) next(ctx context.Context, what string, wait time.Duration) (storer.Changes, error) {
	f.mu.Lock()
	f.asked = append(f.asked, what)
	if len(f.steps) == 0 {
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return storer.Changes{}, ctx.Err()
		case <-time.After(wait):
			return storer.NewChanges(nil, 100, 0), nil
		}
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	f.mu.Unlock()
	var list []storer.Change
	for _, k := range s.keys {
		list = append(list, storer.NewChange(storer.NewRow(k, nil, s.version)))
	}
	return storer.NewChanges(list, s.version, 0), s.err
}

func (f *feed) Snapshot(ctx context.Context) (storer.Changes, error) {
	return f.next(ctx, "whole", time.Second)
}

func (f *feed) Follow(ctx context.Context, _ storer.Version, wait time.Duration) (storer.Changes, error) {
	return f.next(ctx, "follow", wait)
}

type reader struct {
	mu   sync.Mutex
	seen []string
}

func (r *reader) note(prefix string, rows []storer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range rows {
		r.seen = append(r.seen, prefix+c.Key())
	}
}

func (r *reader) Replace(rows []storer.Change)          { r.note("=", rows) }
func (r *reader) Apply(rows []storer.Change)            { r.note("+", rows) }
func (r *reader) Contact(storer.Version, time.Duration) {}

// Guards against changes that are missed when the store fails or loses its history,
// and against an answer that is older than an earlier one.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{steps: []step{
			{err: errors.New("down")},
			{keys: []string{"a"}, version: 10},
			{keys: []string{"b"}, version: 12},
			{err: storer.ErrHistoryLost},
			{keys: []string{"stale"}, version: 11}, // a copy from before
			{keys: []string{"c"}, version: 20},
			{keys: []string{"d"}, version: 21},
		}}
		r := &reader{}
		fl := follower.New("t", f, r, time.Second, time.Millisecond, logger.Nop())
		_, lost := fl.SinceRecovery()
		is.True(!lost)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fl.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		is.Equal(r.seen, []string{"=a", "+b", "=c", "+d"})
		_, lost = fl.SinceRecovery()
		is.True(lost)
	})
}

// Guards against a call that is held back on a connection that went silent while
// other hosts know of changes.
func TestNudge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{steps: []step{{keys: []string{"a"}, version: 10}}}
		fl := follower.New("t", f, &reader{}, time.Hour, time.Millisecond, logger.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fl.Run(ctx); close(done) }()
		time.Sleep(time.Minute)
		fl.Refresh()
		time.Sleep(time.Second)
		f.mu.Lock()
		is.Equal(f.asked, []string{"whole", "follow", "follow"})
		f.mu.Unlock()
		cancel()
		<-done
		_, lost := fl.SinceRecovery()
		is.True(!lost)
	})
}

// Guards against a follower that waits for ever on a connection that went silent.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &silent{}
		fl := follower.New("t", f, &reader{}, time.Second, time.Millisecond, logger.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		fl.Run(ctx)
		is.True(f.calls >= 5)
	})
}

type silent struct{ calls int }

func (s *silent) Snapshot(ctx context.Context) (storer.Changes, error) {
	s.calls++
	<-ctx.Done()
	return storer.Changes{}, ctx.Err()
}

func (s *silent) Follow(ctx context.Context, _ storer.Version, _ time.Duration) (storer.Changes, error) {
	return s.Snapshot(ctx)
}

// Guards against a large table that a host with a narrow link never reads whole.
func TestLongRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{}
		fl := follower.New("t", long{}, r, time.Second, time.Millisecond, logger.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		fl.Run(ctx)
		is.Equal(r.seen, []string{"=a"})
	})
}

// long answers after some seconds.
type long struct{}

func (long) Snapshot(ctx context.Context) (storer.Changes, error) {
	select {
	case <-time.After(3 * time.Second):
		return storer.NewChanges([]storer.Change{storer.NewChange(storer.NewRow("a", nil, 1))}, 1, 0), nil
	case <-ctx.Done():
		return storer.Changes{}, ctx.Err()
	}
}

func (long) Follow(ctx context.Context, _ storer.Version, wait time.Duration) (storer.Changes, error) {
	select {
	case <-time.After(wait):
		return storer.NewChanges(nil, 1, 0), nil
	case <-ctx.Done():
		return storer.Changes{}, ctx.Err()
	}
}

// Guards against a host that never learns what its neighbours know, because their
// nudges end each call before the store answers.
func TestManyNudges(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &reader{}
			fl := follower.New("t", &slow{delay: delay}, r, 20*time.Second, time.Millisecond, logger.Nop())
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			var nudging sync.WaitGroup
			nudging.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(30 * time.Millisecond)
					fl.Refresh()
				}
			})
			fl.Run(ctx)
			nudging.Wait()
			is.Equal(r.seen, []string{"+a"})
		})
	}
}

// slow takes a while for its first change and then holds calls back.
type slow struct {
	delay time.Duration
	told  bool
}

func (*slow) Snapshot(context.Context) (storer.Changes, error) {
	return storer.NewChanges(nil, 1, 0), nil
}

func (s *slow) Follow(ctx context.Context, _ storer.Version, wait time.Duration) (storer.Changes, error) {
	after := s.delay
	if s.told {
		after = wait
	}
	select {
	case <-time.After(after):
		if s.told {
			return storer.NewChanges(nil, 2, 0), nil
		}
		s.told = true
		return storer.NewChanges([]storer.Change{storer.NewChange(storer.NewRow("a", nil, 2))}, 2, 0), nil
	case <-ctx.Done():
		return storer.Changes{}, ctx.Err()
	}
}
