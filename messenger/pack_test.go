package messenger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// counted returns the address of a relay to another address, and the bytes that come back.
func counted(t *testing.T, address string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(out, in)
				_ = out.Close()
			}()
			go func() {
				_, _ = io.Copy(io.MultiWriter(in, counter{&n}), out)
				_ = in.Close()
			}()
		}
	}()
	return l.Addr().String(), &n
}

type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a copy that was packed for another host and that counts as new when it is
// not, or is used after the table has begun anew.
func TestPackedCopyIsReused(t *testing.T) {
	is := is.New(t)
	h := &handler{mirror: mirrorer.New(discardHandler{})}
	fill := func(v storer.Version) {
		h.mirror.Replace([]storer.Change{storer.NewChange(storer.NewRow("a", nil, v))})
		h.mirror.Contact(v, time.Second, 0)
	}
	client, address := connect(t, h)
	read := func() mirrorer.Copy {
		c, err := client.Snapshot(t.Context(), address, "t")
		is.NoErr(err)
		return c
	}
	fill(storer.NewVersion(1, 10))
	is.Equal(read().Changes().Version(), storer.NewVersion(1, 10))
	time.Sleep(50 * time.Millisecond)
	fill(storer.NewVersion(1, 11))
	reused := read()
	is.True(reused.Changes().Version() == storer.NewVersion(1, 11) || reused.Age() >= 50*time.Millisecond)
	fill(storer.NewVersion(2, 5)) // the store was restored
	is.Equal(read().Changes().Version(), storer.NewVersion(2, 5))
	time.Sleep(600 * time.Millisecond)
	fill(storer.NewVersion(2, 6))
	is.Equal(read().Changes().Version(), storer.NewVersion(2, 6))
}

// Guards against tables of many hosts that take more than a third of their size between
// hosts, or are too large for one message, and against rows that are lost or altered on the
// way, also a single one.
func TestPackedCopies(t *testing.T) {
	for _, rows := range []int{1, 30, 300, 3000, 20_000} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) {
			is := is.New(t)
			h := &handler{mirror: mirrorer.New(discardHandler{})}
			var list []storer.Change
			size := int64(0)
			for i := range rows {
				value := fmt.Appendf(nil, `{"service":"svc-%d","address":"10.%d.%d.%d:8000","zone":"z%d","slots":8,"state":"ready","version":"v1","models":[{"name":"base","version":1,"adapters":["a%d@1","b%d@2"]}],"born":17%011d}`,
					i%20, i%6, i/250, i%250, i%6, i*7919%5000, i*104729%5000, i*15485863)
				list = append(list, storer.NewChange(storer.NewRow(fmt.Sprint("i-", i), value, storer.Version(i+1))))
				size += int64(len(value))
			}
			h.mirror.Replace(list)
			h.mirror.Contact(storer.Version(rows), 0, 0)
			client, address := connect(t, h)
			relay, received := counted(t, address)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			got, err := client.Snapshot(ctx, relay, "t")
			is.NoErr(err)
			is.Equal(len(got.Changes().List()), rows)
			byKey := make(map[string]storer.Change)
			for _, c := range got.Changes().List() {
				byKey[c.Key()] = c
			}
			for _, c := range list {
				is.Equal(byKey[c.Key()], c)
			}
			is.True(rows < 30 || received.Load() < size/3)
		})
	}
}
