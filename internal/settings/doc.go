// Package settings converts the operators' settings and load reports to the planner's: it renames settings and
// figures, converts times to milliseconds, and replaces names of zones, hardware models and request classes by small
// indices. The simulator's adapter and the platform's adapter share it, so that equal settings result in equal
// planners. It performs no I/O and makes no decisions.
package settings
