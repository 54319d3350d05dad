package gang_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestGang(t *testing.T) { suite.Run(t, "gang") }
