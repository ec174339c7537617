package main

import (
	"fmt"

	"go.uber.org/zap"
)

// logger returns a log for people (console) or machines (json), and its level, which a reload may set.
func logger(format, level string) (*zap.Logger, zap.AtomicLevel, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, parsed, fmt.Errorf("log level: %w", err)
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
		return nil, parsed, fmt.Errorf("start log: %w", err)
	}
	return log, parsed, nil
}
