package main

import (
	"fmt"

	"go.uber.org/zap"
)

func logger(format, level string) (*zap.Logger, zap.AtomicLevel, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, l, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	if format == "console" {
		c = zap.NewDevelopmentConfig()
		c.Development, c.DisableStacktrace = false, true
	}
	c.Level = l
	log, err := c.Build()
	if err != nil {
		return nil, l, fmt.Errorf("start log: %w", err)
	}
	return log, l, nil
}
