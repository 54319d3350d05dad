package config_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestConfig(t *testing.T) { suite.Run(t, "config") }
