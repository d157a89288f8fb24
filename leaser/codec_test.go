package leaser_test

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/leaser"
)

// storedAssignment is a row with two members and three engines, written by the
// codec that package leaser had before it used package encoder.
const storedAssignment = "a4010502030382a30161610261780301a30161620263797979031a000111700483a401626531" +
	"02a30161610261780301030104a3016002600300a40162653202a30161610261780301030204" +
	"a3016002600300a40162653302a30161620263797979031a00011170030304a3016002600300"

// Guards against a change of the stored format, which nodes of two versions
// must be able to read during an upgrade.
func TestStoredAssignment(t *testing.T) {
	is := is.New(t)
	live := []leaser.Candidate{
		leaser.NewCandidate(leaser.NewHolder("a", "x", 1), false),
		leaser.NewCandidate(leaser.NewHolder("b", "yyy", 70000), false),
	}
	all := func(leaser.Holder) bool { return true }
	a, _ := leaser.Plan(&leaser.Assignment{}, live, leaser.NewEngines(5, []string{"e1", "e2", "e3"}), all)
	row, err := a.Encode()
	is.NoErr(err)
	is.Equal(hex.EncodeToString(row), storedAssignment)
	back, err := leaser.DecodeAssignment(row)
	is.NoErr(err)
	is.Equal(back, a)
}
