package target

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

var titles = [...]string{
	"Pressure cooker, 5 litres", "Brass diya set", "Tant sari, red border", "Steel dinner set",
	"Kantha quilt", "Mixer grinder", "Silver sindoor box", "Wall clock, teak",
	"Cálculo, volume 1", "Química orgânica", "Física para cientistas", "Anatomia humana",
	"Introdução ao direito", "Gramática da língua portuguesa", "História do Nordeste", "Álgebra linear",
}

// Rows returns the rows of one shard in one snapshot whose value contains the text, ignoring case,
// in descending order of score. An empty text matches all rows. The rows depend only on the
// arguments, so that a test can compute the expected rows, and each value names its snapshot:
// "Kantha quilt (snapshot 7)".
func Rows(service string, shard uint32, snapshot uint64, perShard int, text string) []targetapi.Row {
	return filterRows(generateRows(service, shard, snapshot, perShard), text)
}

// filterRows returns the rows whose value contains the text, in their original order.
func filterRows(rows []targetapi.Row, text string) []targetapi.Row {
	if text == "" {
		return rows
	}
	text = strings.ToLower(text)
	found := []targetapi.Row{}
	for _, row := range rows {
		if strings.Contains(strings.ToLower(row.Value), text) {
			found = append(found, row)
		}
	}
	return found
}

func generateRows(service string, shard uint32, snapshot uint64, perShard int) []targetapi.Row {
	rows := make([]targetapi.Row, perShard)
	for n := range rows {
		rows[n] = generateRow(service, shard, snapshot, n)
	}
	slices.SortFunc(rows, func(a, b targetapi.Row) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	return rows
}

func generateRow(service string, shard uint32, snapshot uint64, n int) targetapi.Row {
	key := fmt.Sprintf("%s/%d/%d", service, shard, n)
	hash := xxhash.Sum64String(key)
	scored := xxhash.Sum64String(fmt.Sprintf("%s@%d", key, snapshot))
	return targetapi.Row{
		Key:   key,
		Value: fmt.Sprintf("%s (snapshot %d)", titles[hash%uint64(len(titles))], snapshot),
		Score: float64(scored) / math.MaxUint64,
	}
}

type shardKey struct {
	service  string
	shard    uint32
	snapshot uint64
}

// cachedRows returns all rows of the shard, generating them at the first use.
func (t *Target) cachedRows(k shardKey) []targetapi.Row {
	if rows, ok := t.rows.Load(k); ok {
		return rows.([]targetapi.Row)
	}
	rows := generateRows(k.service, k.shard, k.snapshot, t.cfg.RowsPerShard)
	t.rows.Store(k, rows)
	return rows
}

// dropCachedRows removes the cached rows of a snapshot.
func (t *Target) dropCachedRows(service string, snapshot uint64) {
	t.rows.Range(func(key, _ any) bool {
		if k := key.(shardKey); k.service == service && k.snapshot == snapshot {
			t.rows.Delete(k)
		}
		return true
	})
}

// search returns the matching rows in descending order of score, at most limit of them unless
// limit is 0, and the total number of matches.
func (t *Target) search(k shardKey, text string, limit int) ([]targetapi.Row, int) {
	rows := filterRows(t.cachedRows(k), text)
	total := len(rows)
	if limit > 0 && limit < total {
		rows = rows[:limit]
	}
	return rows, total
}
