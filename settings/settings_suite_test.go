package settings_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSettings(t *testing.T) { suite.Run(t, "settings") }
