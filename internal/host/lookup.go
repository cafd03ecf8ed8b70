package host

import "rhubarbwood.example/rhubarbwood/internal/kernel"

// lookup finds several modules for one factory and keeps the first error, so
// that the factory checks once.
type lookup struct {
	finder kernel.Finder
	err    error
}

// find returns the module with this name as a T, or the zero value and an
// error in l.
func find[T any](l *lookup, name string) T {
	m, err := kernel.Find[T](l.finder, name)
	if err != nil && l.err == nil {
		l.err = err
	}
	return m
}
