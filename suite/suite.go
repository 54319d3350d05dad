// Package suite runs the ginkgo specs of a package with a fixed seed, so that
// each run orders them alike.
//
// # Usage
//
//	func TestClaim(t *testing.T) { suite.Run(t, "claim") }
//
// The environment variable CHESTNUTSAIL_SKIP passes over specs by their full text,
// one a line; CI sets it to the specs of KNOWN-RED.txt.
package suite

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const seed = 1

// Run runs the specs of the calling package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	for line := range strings.Lines(os.Getenv("CHESTNUTSAIL_SKIP")) {
		suite.SkipStrings = append(suite.SkipStrings, "(^| )"+regexp.QuoteMeta(strings.TrimSpace(line))+"$")
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
