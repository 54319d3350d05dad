package caller_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestCaller(t *testing.T) { suite.Run(t, "caller") }
