package quarantiner

import (
	"cmp"
	"slices"

	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// maxSignatures limits the signatures of one part, and maxSignatureParts the parts
	// of each. Beyond them, all calls with the part are refused.
	maxSignatures     = 8
	maxSignatureParts = 16
)

// Signature is a set of prompt parts, in the order of a prompt. A call that has all of them looks like
// those that crashed endpoints.
//
// As long as several parts explain the crashes under a part in quarantine alike, its
// signatures name them together. A call with the part that matches none of them can show
// which one is the cause: if its output begins, the part is sound; if it crashes an
// endpoint, the parts that it lacks are not the cause.
type Signature []router.PromptPart

// Matches reports whether a prompt has all parts of the signature.
func (s Signature) Matches(prompt []router.PromptPart) bool {
	for _, part := range s {
		if !slices.Contains(prompt, part) {
			return false
		}
	}
	return true
}

// Signatures returns the signatures of a part in quarantine: those of the crashes that
// this host knows, and those of the row. A part whose crashes nobody describes has itself
// as its only signature.
func (q *Quarantiner) Signatures(part router.PromptPart) []Signature {
	list := minimal(append(q.crashSignatures(part), q.held[part].signatures...))
	oversized := slices.ContainsFunc(list, func(s Signature) bool { return len(s) > maxSignatureParts })
	if len(list) == 0 || len(list) > maxSignatures || oversized {
		return []Signature{{part}}
	}
	return list
}

// crashSignatures returns, for each crash under a part, the part and its alternatives
// among the parts of the crash, or nothing while fewer crashes are known than a
// quarantine requires.
func (q *Quarantiner) crashSignatures(part router.PromptPart) []Signature {
	crashes := q.crashesUnder(part)
	if len(crashes) < crashLimit {
		return nil
	}
	alternatives := q.alternatives(part, crashes)
	var list []Signature
	for _, c := range crashes {
		var signature Signature
		for other := range c.positions {
			if other == part || alternatives[other] {
				signature = append(signature, other)
			}
		}
		slices.SortFunc(signature, func(a, b router.PromptPart) int {
			return cmp.Or(cmp.Compare(c.positions[a], c.positions[b]), cmp.Compare(a, b))
		})
		list = append(list, signature)
	}
	return list
}

// alternatives returns the parts that would be put in quarantine for the given crashes if
// part were sound.
func (q *Quarantiner) alternatives(part router.PromptPart, crashes []*crash) map[router.PromptPart]bool {
	counts := make(map[router.PromptPart]int)
	for _, c := range crashes {
		for other := range c.positions {
			if other != part && !q.begunSince(other, c.at) {
				counts[other]++
			}
		}
	}
	list := make(map[router.PromptPart]bool)
	for other, n := range counts {
		list[other] = n >= crashLimit
	}
	return list
}

// minimal returns the signatures that contain no other one, each once.
func minimal(list []Signature) []Signature {
	slices.SortFunc(list, func(a, b Signature) int { return len(a) - len(b) })
	var result []Signature
	for _, s := range list {
		implied := slices.ContainsFunc(result, func(smaller Signature) bool { return smaller.Matches(s) })
		if !implied {
			result = append(result, s)
		}
	}
	return result
}
