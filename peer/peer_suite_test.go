package peer_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

func TestPeer(t *testing.T) { suite.Run(t, "peer") }
