package pinner

import (
	"maps"
	"time"
)

// Restatement is what a host says of the records that a restore of the store may have lost.
type Restatement struct {
	era    uint64
	spans  map[string]time.Duration
	copies map[uint64]time.Duration
}

// NewRestatement returns a restatement. Era is the latest era of the store in which it has
// all records that the host has to store, spans the time before now in which the host lacks
// no record, by service, and copies for how long the copy of the store that began an era may
// lack writes, by era.
func NewRestatement(era uint64, spans map[string]time.Duration, copies map[uint64]time.Duration) Restatement {
	return Restatement{era: era, spans: spans, copies: copies}
}

// Era returns the latest era of the store in which it has all records that the host has to
// store.
func (r Restatement) Era() uint64 { return r.era }

// Spans returns the time before now in which the host lacks no record, by service.
func (r Restatement) Spans() map[string]time.Duration { return maps.Clone(r.spans) }

// Copies returns for how long the copy of the store that began an era may lack writes.
func (r Restatement) Copies() map[uint64]time.Duration { return maps.Clone(r.copies) }

// AwaitsRestatement reports whether the store may lack records of a restore that hosts hold.
func (p *Pinner) AwaitsRestatement(now time.Time) bool {
	for _, s := range *p.services.Load() {
		if s.stored && !p.completeState(s) && p.mixed(s, now) {
			return true
		}
	}
	return false
}

// Restate records what all live hosts say. If each has stored its records again, and lacks
// none of those that the restore may have lost, no record of a service is missing any more.
func (p *Pinner) Restate(name string, hosts []Restatement) {
	s, era := p.service(name), p.era.Load().era
	lost, ok := lostTime(hosts, s.state.era, era)
	if !s.stored || !ok {
		return
	}
	for _, h := range hosts {
		if span, known := h.spans[name]; !known || h.era < era || span < lost {
			return
		}
	}
	p.update(name, func(s *service) { s.restated = era })
}

// lostTime returns the time before now from which on the restores that began the eras after
// a complete one may have lost writes. It returns false if no host knows it of one of them.
func lostTime(hosts []Restatement, complete, era uint64) (time.Duration, bool) {
	lost := time.Duration(0)
	for one := complete + 1; one <= era; one++ {
		shortest, known := time.Duration(0), false
		for _, h := range hosts {
			if age, ok := h.copies[one]; ok && (!known || age < shortest) {
				shortest, known = age, true
			}
		}
		if !known {
			return 0, false
		}
		lost = max(lost, shortest)
	}
	return lost, true
}
