package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// Guards against a key that is accepted for both kinds of request: a job and a quick request
// are submitted under the same key at the same time.
var _ = Describe("a key that is used for a job and for a quick request", func() {
	It("is accepted for only one of them", func() {
		server := httptest.NewServer(consultest.New(consultest.Options{}))
		DeferCleanup(server.Close)
		store := consul.New(consul.Config{Address: server.URL})
		claims := claim.New(claim.Options{Store: store, ConflictingKey: ledger.Key})
		jobs := ledger.New(ledger.Options{Store: store, Domain: "a", ConflictingKey: claim.Key})
		DeferCleanup(func() { Expect(jobs.Stop(context.Background())).To(Succeed()) })

		const keys = 50
		var wg sync.WaitGroup
		for i := range keys {
			key := fmt.Sprint("k", i)
			var claimed error
			var submitted outcome.Outcome
			wg.Go(func() {
				defer GinkgoRecover()
				var both sync.WaitGroup
				both.Go(func() {
					_, claimed = claims.Take(context.Background(), claim.Claim{Account: "kulhar", Key: key, Hash: "h", Worker: "a-1", Attempt: 1})
				})
				both.Go(func() {
					submitted = jobs.Submit(context.Background(), job.Spec{Account: "kulhar", Service: "reconcile", Key: key, Class: job.Batch})
				})
				both.Wait()
				if claimed == nil {
					Expect(submitted.Kind).To(Equal(outcome.NotRun))
					Expect(submitted.Reason).To(Equal(outcome.KeyReused))
					return
				}
				Expect(errors.Is(claimed, claim.ErrOtherKind)).To(BeTrue(), claimed.Error())
				Expect(submitted.Kind).To(Equal(outcome.Accepted))
			})
		}
		wg.Wait()
	})
})
