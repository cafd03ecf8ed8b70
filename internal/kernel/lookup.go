package kernel

// Lookup finds several modules for one factory and keeps the first error, so
// that the factory checks once.
type Lookup struct {
	Finder Finder
	Err    error
}

// FindIn returns the module with this name as a T, or the zero value and an
// error in l.
func FindIn[T any](l *Lookup, name string) T {
	m, err := Find[T](l.Finder, name)
	if err != nil && l.Err == nil {
		l.Err = err
	}
	return m
}
