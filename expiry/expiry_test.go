package expiry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/expiry"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestExpiry(t *testing.T) { suite.Run(t, "expiry") }

var _ = Describe("expiry", func() {
	It("deletes expired claims and keeps the others", func() {
		ctx := context.Background()
		store := consultest.New(consultest.Options{})
		server := httptest.NewServer(store)
		defer server.Close()
		clk := clock.NewManual(clock.Hour)
		registry := claim.New(claim.Options{Store: consul.New(consul.Config{Address: server.URL}), Clock: clk})
		add := func(key string) {
			c, err := registry.Take(ctx, claim.Claim{Account: "kulhar", Key: key, Attempt: 1})
			Expect(err).NotTo(HaveOccurred())
			_, err = registry.End(ctx, c, outcome.Outcome{Kind: outcome.Done})
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range 3 {
			add(fmt.Sprint("old-", i))
		}
		clk.Advance(claim.Retention + 1)
		add("new")
		s := expiry.New(expiry.Options{Registry: registry, Cycle: claim.Buckets * clock.Millisecond})
		defer func() { Expect(s.Stop(ctx)).To(Succeed()) }()
		Eventually(func() []string { return store.Keys("claim/") }).WithTimeout(60 * time.Second).
			Should(ConsistOf(claim.Key("kulhar", "new")))
	})
})
