package e2e_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestE2E(t *testing.T) { suite.Run(t, "e2e") }
