package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/soak"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSoak(t *testing.T) { suite.Run(t, "soak") }

// regressions holds seeds that failed in the past, each with the cause of its failure.
// Every run repeats them.
var regressions = map[uint64]string{
	7000: "the stand-in worker dated the end of a run to its next call, so a run that had lapsed seemed to overlap the next one",
	3001: "the leader took workers for ended whose links closed the connections in use in an orderly way and refused new ones",
}

// seeds returns the seeds to run beside regressions. The environment variables CHESTNUTSAIL_SOAK, the first
// seed, and CHESTNUTSAIL_SOAK_COUNT, the number of seeds, replace the default list.
func seeds() []uint64 {
	list := []uint64{1, 2}
	firstText, countText := os.Getenv("CHESTNUTSAIL_SOAK"), os.Getenv("CHESTNUTSAIL_SOAK_COUNT")
	if firstText == "" {
		return list
	}
	first, err := strconv.ParseUint(firstText, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	count, err := strconv.Atoi(countText)
	Expect(err).NotTo(HaveOccurred())
	list = nil
	for i := range count {
		list = append(list, first+uint64(i))
	}
	return list
}

// number returns the value of an environment variable, or 0 if it is not set.
func number(name string) int {
	GinkgoHelper()
	text := os.Getenv(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// options returns the options for a seed. Some environment variables change them for trials by hand:
// CHESTNUTSAIL_SOAK_LEASE, in seconds, CHESTNUTSAIL_SOAK_SCALE and CHESTNUTSAIL_SOAK_ONLY.
func options(program, dir string, seed uint64) soak.Options {
	GinkgoHelper()
	return soak.Options{
		Program: program, Seed: seed, Duration: 8 * time.Second, Dir: dir,
		Lease: time.Duration(number("CHESTNUTSAIL_SOAK_LEASE")) * time.Second,
		Scale: number("CHESTNUTSAIL_SOAK_SCALE"), Only: os.Getenv("CHESTNUTSAIL_SOAK_ONLY"),
	}
}

// play runs the soak with seeds and returns the number of seeds in which long tasks held a part of
// each rack.
func play(seeds ...uint64) int {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	if keepDir := os.Getenv("CHESTNUTSAIL_SOAK_DIR"); keepDir != "" {
		dir = keepDir
	}
	program := filepath.Join(dir, "chestnutsail")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/chestnutsail").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	racksHeld := 0
	for _, seed := range seeds {
		report, err := soak.Run(options(program, dir, seed))
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println("seed", seed, report)
		Expect(report.Violations).To(BeEmpty(), "seed %d, faults %v", seed, report.Faults)
		Expect(report.Accepted).To(BeNumerically(">", 0), "seed %d", seed)
		if report.RackHeld {
			racksHeld++
		}
	}
	return racksHeld
}

var _ = Describe("instances under injected faults", func() {
	It("keep the promises to callers", func() {
		Expect(play(seeds()...)).To(BeNumerically(">", 0), "seeds in which long tasks held a part of each rack")
	})

	for seed := range regressions {
		It(fmt.Sprintf("keep the promises to callers with seed %d, which failed before", seed), func() { play(seed) })
	}
})
