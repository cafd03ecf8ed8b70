package host

import "rhubarbwood.example/rhubarbwood/internal/kernel"

// finds keeps the first error of several finds, so that a factory can look up
// all its modules and check once.
type finds struct{ err error }

func find[T any](f kernel.Finder, u *finds, name string) T {
	m, err := kernel.Find[T](f, name)
	if err != nil && u.err == nil {
		u.err = err
	}
	return m
}
