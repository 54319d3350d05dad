package check_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestCheck(t *testing.T) { suite.Run(t, "check") }
