// Package settings reads settings files: JSON with comments and trailing
// commas, decoded into and validated against a Go type. A file is applied as a
// whole or not at all, and all errors in it are reported together with their
// positions. The package does not define the settings of any program; those are
// types of the packages that use them. Begin reading at Load.
package settings
