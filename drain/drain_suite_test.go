package drain_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestDrain(t *testing.T) { suite.Run(t, "drain") }
