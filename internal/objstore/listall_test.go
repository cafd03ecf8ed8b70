package objstore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// endlessList is a platform whose lists have no last page.
type endlessList struct {
	Records
	pages int
}

func (l *endlessList) List(context.Context, string, string) (RecordPage, error) {
	l.pages++
	return RecordPage{More: true, Records: []Record{{Name: fmt.Sprintf("%09d", l.pages), Spec: make([]byte, 1<<20)}}}, nil
}

// The pages of a list without an end were kept until the memory of the host was used up.
func TestListWithoutAnEndIsGivenUp(t *testing.T) {
	is := is.New(t)
	l := &endlessList{}
	_, err := ListAll(t.Context(), l, "k")
	var exceeded *LimitError
	is.True(errors.As(err, &exceeded))
	is.Equal(exceeded.Limit, LimitList)
	is.Equal(l.pages, maxListBytes>>20)
	is.Equal(resultOf(err), resultUnavailable)
}
