package instances_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestInstances(t *testing.T) { suite.Run(t, "instances") }
