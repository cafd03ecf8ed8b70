package kernel

// Lookup looks up several modules for one factory and keeps the first error in
// Err, so that the factory checks for errors once.
type Lookup struct {
	Finder Finder
	Err    error
}

// FindIn returns the module registered under name, as a T. If that fails, it
// returns the zero value and sets l.Err, unless an earlier lookup has set it.
func FindIn[T any](l *Lookup, name string) T {
	m, err := Find[T](l.Finder, name)
	if err != nil && l.Err == nil {
		l.Err = err
	}
	return m
}
