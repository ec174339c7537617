// Package config reads the settings of a pilot from HCL, validates them and converts them to the typed options of other
// packages. Every error about the content of a file contains the file name, line and column.
//
// The package opens no files other than the one that the caller names, and it does not apply settings.
package config
