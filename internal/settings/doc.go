// Package settings converts settings and load reports from the form that operators use to the form that the planner
// uses. It renames settings and load metrics, converts times to milliseconds, and replaces the names of zones, hardware
// models and request classes by small indices. The adapters of the simulator and of the platform share it, so that
// equal settings result in equally configured planners.
package settings
