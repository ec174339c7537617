package main

import (
	"fmt"

	"go.uber.org/zap"
)

// newLogger returns a logger with the format "console" or "json", and its level, which can be changed later.
func newLogger(format, level string) (*zap.Logger, zap.AtomicLevel, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, parsed, fmt.Errorf("parse log level: %w", err)
	}
	c := zap.NewProductionConfig()
	if format == "console" {
		c = zap.NewDevelopmentConfig()
		c.Development = false
		c.DisableStacktrace = true
	}
	c.Level = parsed
	log, err := c.Build()
	if err != nil {
		return nil, parsed, fmt.Errorf("create logger: %w", err)
	}
	return log, parsed, nil
}
