package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Entry is a node that callers may connect to.
type Entry struct {
	node       string
	address    string
	region     string
	dataCentre string
}

// NewEntry returns an entry.
func NewEntry(node, address, region, dataCentre string) Entry {
	return Entry{node: node, address: address, region: region, dataCentre: dataCentre}
}

// Node returns the name of the node.
func (e Entry) Node() string { return e.node }

// Address returns the address that callers connect to.
func (e Entry) Address() string { return e.address }

// EntryList is an immutable list of entries, grouped by distance.
type EntryList struct {
	groups [][]Entry
}

// NewEntryList groups entries by distance from a node: same data centre, same
// region, other regions. The entries must not include nodes that are known to
// be draining.
func NewEntryList(region, dataCentre string, entries []Entry) *EntryList {
	groups := make([][]Entry, 3)
	for _, e := range entries {
		distance := 2
		switch {
		case e.region == region && e.dataCentre == dataCentre:
			distance = 0
		case e.region == region:
			distance = 1
		}
		groups[distance] = append(groups[distance], e)
	}
	return &EntryList{groups: groups}
}

// ordered returns the entries, nearest first, with the preferred node before
// all others. The order within a group is random, so that callers that always
// use the first entry spread over the group.
func (l *EntryList) ordered(preferred string) []Entry {
	var entries []Entry
	for _, group := range l.groups {
		start := len(entries)
		entries = append(entries, group...)
		part := entries[start:]
		rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	for i, e := range entries {
		if e.node == preferred {
			copy(entries[1:i+1], entries[:i])
			entries[0] = e
			break
		}
	}
	return entries
}

// entriesQuery holds the parameters of GET /v1/entries.
type entriesQuery struct {
	adapter string
}

func readEntriesQuery(_ http.ResponseWriter, r *http.Request) (entriesQuery, error) {
	return entriesQuery{adapter: r.URL.Query().Get("adapter")}, nil
}

func (s *Server) findEntries(_ context.Context, q entriesQuery) ([]Entry, error) {
	if s.entries == nil {
		return nil, classifier.NewUnavailable("entries are not configured on this node")
	}
	list := s.entries.Load()
	if list == nil {
		return nil, classifier.NewUnavailable("the entries are not loaded yet", classifier.RetryAfter(s.entryTTL))
	}
	preferred := ""
	if s.owners != nil && q.adapter != "" {
		if node, ok := s.owners.Owner(q.adapter); ok {
			preferred = node
		}
	}
	entries := s.withoutDraining(list.ordered(preferred))
	if len(entries) == 0 {
		return nil, classifier.NewUnavailable("all entries are draining", classifier.RetryAfter(s.entryTTL))
	}
	return entries, nil
}

// withoutDraining removes the entries of draining nodes.
func (s *Server) withoutDraining(entries []Entry) []Entry {
	if s.drainChecker == nil {
		return entries
	}
	return slices.DeleteFunc(entries, func(e Entry) bool { return s.drainChecker.Draining(e.node) })
}

// entriesDocument is the answer of GET /v1/entries.
type entriesDocument struct {
	Entries []entryDocument `json:"entries"`
	// TTL is how long the caller may cache the list, in seconds.
	TTL int `json:"ttl_seconds"`
}

type entryDocument struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

func (s *Server) writeEntries(w http.ResponseWriter, r *http.Request, _ entriesQuery, entries []Entry) {
	doc := entriesDocument{TTL: ceilSeconds(s.entryTTL)}
	for _, e := range entries {
		doc.Entries = append(doc.Entries, entryDocument{Address: e.address, Region: e.region, DataCentre: e.dataCentre})
	}
	setAnswerHeaders(w, r, classifier.Done{})
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", doc.TTL))
	writeJSON(w, typeJSON, http.StatusOK, doc)
}
