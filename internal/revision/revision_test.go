package revision

import (
	"testing"

	"github.com/matryer/is"
)

func TestOrder(t *testing.T) {
	is := is.New(t)
	ordered := []Revision{{}, {0, 7}, {1, 0}, {1, 70}, {1, 72}, {2, 68}, {2, 72}, {3, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			is.Equal(a.Before(b), i < j)
			is.Equal(a.Compare(b), -b.Compare(a))
			is.Equal(Later(a, b), ordered[max(i, j)])
			is.Equal(a.Ordinal() < b.Ordinal(), i < j)
		}
	}
	is.True(Revision{}.IsZero())
	is.True(!Revision{Era: 1}.IsZero())
	is.Equal(Revision{2, 68}.String(), "2/68")
	is.Equal(Revision{0, 68}.String(), "68")
	is.Equal(Revision{0, 68}.Ordinal(), uint64(68))
	for _, r := range ordered {
		is.Equal(FromOrdinal(r.Ordinal()), r)
	}
}
