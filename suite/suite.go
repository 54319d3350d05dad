// Package suite runs the Ginkgo specs of a package with a fixed seed, so that they run in
// the same order each time.
//
// # Usage
//
//	func TestClaim(t *testing.T) { suite.Run(t, "claim") }
//
// The environment variable CHESTNUTSAIL_SKIP lists specs to skip by their full text, one
// on each line. CI sets it to the specs listed in KNOWN-RED.txt.
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

// Run runs the specs of the calling package as the test t. The name is that of the suite in
// Ginkgo's output.
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
