package policy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// rotatingHolders returns the holders of shards whose three targets are in neighbouring
// domains of five.
func rotatingHolders(shards int) []Domains {
	var all []Domains
	for i := range shards {
		all = append(all, DomainSet(i%5)|DomainSet((i+1)%5)|DomainSet((i+2)%5))
	}
	return all
}

const allFive = Domains(1<<5 - 1)

func TestTwoDomainsCoverWhatOneLacks(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	second := map[int]int{}
	for range 100 {
		cells := Cover(rng, rotatingHolders(90), 2, allFive)
		is.Equal(len(cells), 2)
		is.Equal(cells[0].Domain, 2) // the own domain first
		is.Equal(len(cells[0].Shards), 54)
		is.Equal(len(cells[1].Shards), 36)
		second[cells[1].Domain]++
	}
	is.Equal(len(second), 2) // chosen at random among equals
	is.True(second[0] >= 30 && second[4] >= 30)
}

func TestOneDomainThatHoldsAllGathersAll(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	holders := slices.Repeat([]Domains{DomainSet(0) | DomainSet(1) | DomainSet(2)}, 90)
	cells := Cover(rng, holders, 1, allFive)
	is.Equal(len(cells), 1)
	is.Equal(cells[0].Domain, 1)
	far := Cover(rng, holders, 4, allFive) // holds none of the shards
	is.Equal(len(far), 1)
	is.True(far[0].Domain < 3)
}

func TestFewShardsElsewhereStayInTheFirstCell(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	holders := slices.Repeat([]Domains{DomainSet(0)}, 10)
	for i := range minCellShards - 1 {
		holders[i] = DomainSet(1)
	}
	cells := Cover(rng, holders, 0, allFive)
	is.Equal(len(cells), 1)
	is.Equal(len(cells[0].Shards), 10)
}

func TestNoOpenDomainLeavesOneCellAnywhere(t *testing.T) {
	is := is.New(t)
	cells := Cover(rand.New(rand.NewPCG(1, 1)), rotatingHolders(90), 2, 0)
	is.Equal(len(cells), 1)
	is.Equal(cells[0].Domain, AnyDomain)
	is.Equal(len(cells[0].Shards), 90)
}

// Whatever the targets, each shard is in exactly one cell, and only shards of the first
// cell may be queried from a domain without a target of theirs.
func TestCoverHoldsEveryShardOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(0, 255), func(n uint64) Domains { return Domains(n) }), 1, 60).Draw(t, "holders")
		open := Domains(rapid.Uint64Range(0, 255).Draw(t, "open"))
		own := rapid.IntRange(-1, 7).Draw(t, "own")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		seen := make([]int, len(holders))
		for i, cell := range Cover(rng, holders, own, open) {
			if cell.Domain != AnyDomain && !open.has(cell.Domain) {
				t.Fatalf("cell in domain %d, open are %b", cell.Domain, open)
			}
			for _, shard := range cell.Shards {
				seen[shard]++
				if i > 0 && !holders[shard].has(cell.Domain) {
					t.Fatalf("shard %d is asked from domain %d without a target there", shard, cell.Domain)
				}
			}
		}
		for shard, n := range seen {
			if n != 1 {
				t.Fatalf("shard %d is in %d cells", shard, n)
			}
		}
	})
}
