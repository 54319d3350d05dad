package guarantee_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/text"
)

func TestGuarantee(t *testing.T) { suite.Run(t, "guarantee") }

func account(name string, gs ...text.Guarantee) text.Account {
	return text.Account{Name: name, Guarantee: gs}
}

var fleet = []text.Pool{
	{Domain: "a", Racks: 2, Workers: 8, Accels: 8},
	{Domain: "b", Racks: 1, Workers: 4, Accels: 8},
	{Domain: "b", Racks: 9, Workers: 40},
}

var _ = DescribeTable("whether guarantees can be met together",
	func(sum string, accounts ...text.Account) {
		err := guarantee.Check(fleet, accounts)
		if sum == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(ContainSubstring(sum)))
	},
	Entry("two entire racks, and small cells in another domain", "",
		account("p", text.Guarantee{Accels: 64, Count: 2, Domain: "a"}),
		account("k", text.Guarantee{Accels: 4, Count: 8, Domain: "b"})),
	Entry("cells of any domain are assigned to a domain that has room", "",
		account("k", text.Guarantee{Accels: 8, Count: 8}, text.Guarantee{Accels: 64, Count: 1}),
		account("p", text.Guarantee{Accels: 32, Count: 1, Domain: "b"})),
	Entry("more accelerators than the domain has", "3 x 64 accelerators = 192 cannot be formed in domain a: only 2 of 3 cells can",
		account("p", text.Guarantee{Accels: 64, Count: 3, Domain: "a"})),
	Entry("enough accelerators, but only in smaller cells", "1 x 64 accelerators = 64 cannot be formed in domain b",
		account("p", text.Guarantee{Accels: 64, Count: 1, Domain: "b"})),
	Entry("a domain without workers", "only 0 of 1 cells can beside the other guarantees; 0 of 0",
		account("p", text.Guarantee{Accels: 1, Count: 1, Domain: "c"})),
	Entry("more cells than the accounts can have together", "account k: guarantee 1: 4 x 8",
		account("p", text.Guarantee{Accels: 8, Count: 18}),
		account("k", text.Guarantee{Accels: 8, Count: 4})),
	Entry("a size that is not a power of two is rounded up", "1 x 16 accelerators",
		account("p", text.Guarantee{Accels: 64, Count: 2}, text.Guarantee{Accels: 16, Count: 2}, text.Guarantee{Accels: 9, Count: 1})),
)
