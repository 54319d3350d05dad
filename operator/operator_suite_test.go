package operator_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestOperator(t *testing.T) { suite.Run(t, "operator") }
