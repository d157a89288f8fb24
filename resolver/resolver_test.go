package resolver_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// designAdapters is the number of adapters that the system is designed for.
const designAdapters = 29_000

func document(versions ...string) *bundler.Document {
	doc := &bundler.Document{
		Bases:    []bundler.BaseDocument{{Name: "base"}},
		Adapters: []bundler.AdapterDocument{{Name: "reading", Base: "base", Versions: versions}},
		Services: []bundler.ServiceDocument{{Name: "ledger", Calls: []bundler.CallDocument{
			{Method: "POST", Path: "/postings"},
			{Method: "GET", Path: "/balances/{account}", Idempotent: true},
		}}},
	}
	for i := range designAdapters {
		doc.Adapters = append(doc.Adapters, bundler.AdapterDocument{
			Name: fmt.Sprintf("adapter-%d", i), Base: "base", Versions: []string{"v1"},
		})
	}
	return doc
}

func request(t testing.TB, call *receiver.Call) *receiver.Request {
	t.Helper()
	r, err := receiver.New(receiver.NewLimits(100, 1000, time.Minute, time.Minute)).Apply(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against resolving a request to an adapter, version or call that the bundle
// does not offer, and against a refusal without the epoch.
func TestApply(t *testing.T) {
	p := publisher.New()
	p.Publish(bundler.NewSnapshot(7, document("v1")))
	generate := func(model string) *receiver.Call { return receiver.NewGeneration(model, "p", 10, 0) }
	call := func(method, path, key string) *receiver.Call {
		return receiver.NewServiceCall("ledger", method, path, nil, key, 1)
	}
	tests := []struct {
		name string
		call *receiver.Call
		want error
	}{
		{"adapter", generate("reading@v1"), nil},
		{"unknown adapter", generate("drafting@v1"), &classifier.NotOffered{}},
		{"unknown version", generate("reading@v2"), &classifier.NotOffered{}},
		{"no version and no shares", generate("reading"), &classifier.Invalid{}},
		{"posting", call("POST", "/postings", "k"), nil},
		{"posting without key", call("POST", "/postings", ""), &classifier.KeyMissing{}},
		{"lookup without key", call("GET", "/balances/7?x=1", ""), nil},
		{"unknown call", call("DELETE", "/postings", "k"), &classifier.NotOffered{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, trail := recorder.StartTrail(context.Background(), nil, "r")
			_, err := resolver.New(p).Apply(ctx, request(t, tt.call))
			is.Equal(fmt.Sprintf("%T", err), fmt.Sprintf("%T", tt.want))
			is.Equal(trail.Epoch(), uint64(7))
		})
	}
}

// Guards against an isolated node that serves a version which a newer bundle may have
// withdrawn, and against refusing requests for which the bundles do not differ.
func TestWithheld(t *testing.T) {
	is := is.New(t)
	p := publisher.New()
	p.Publish(bundler.NewSnapshot(7, document("v1")))
	p.Prepare(bundler.NewSnapshot(8, document("v2")))
	r := resolver.New(p)
	apply := func(model string) error {
		_, err := r.Apply(context.Background(), request(t, receiver.NewGeneration(model, "p", 10, 0)))
		return err
	}
	is.NoErr(apply("reading@v1"))
	p.SetUpToDate(false)
	var withheld *classifier.Withheld
	is.True(errors.As(apply("reading@v1"), &withheld))
	is.NoErr(apply("adapter-1@v1"))
}

// Guards against a resolution whose cost grows with the bundle. With designAdapters
// adapters it must need less than 2 µs and one allocation, the Resolved value.
func TestOneAllocation(t *testing.T) {
	is := is.New(t)
	r, req := resolverAndRequest(t)
	allocs := testing.AllocsPerRun(1000, func() { _, _ = r.Apply(context.Background(), req) })
	is.Equal(allocs, 1.0)
}

func BenchmarkApply(b *testing.B) {
	r, req := resolverAndRequest(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Apply(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}

func resolverAndRequest(t testing.TB) (*resolver.Resolver, *receiver.Request) {
	t.Helper()
	p := publisher.New()
	p.Publish(bundler.NewSnapshot(1, document("v1")))
	return resolver.New(p), request(t, receiver.NewGeneration("adapter-14000@v1", "p", 10, 0))
}
