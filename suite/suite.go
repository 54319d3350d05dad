// Package suite runs the ginkgo specs of a package with a fixed seed, so that
// each run orders them alike.
//
// # Usage
//
//	func TestClaim(t *testing.T) { suite.Run(t, "claim") }
package suite

import (
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
	ginkgo.RunSpecs(t, name, suite, reporter)
}
