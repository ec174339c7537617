// Package config reads the settings of a pilot from HCL, validates them and converts them to the typed options of other
// packages. Every error names file, line and column.
//
// The package opens only the file it is asked to read, and it applies no setting itself.
package config
