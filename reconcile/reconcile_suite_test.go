package reconcile_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestReconcile(t *testing.T) { suite.Run(t, "reconcile") }
