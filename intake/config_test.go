package intake_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/intake"
)

var _ = Describe("a call that another instance has handed on", func() {
	// Guards against a call that takes effect by a configuration that came into force after its sender was asked.
	DescribeTable("is answered by the configuration that its sender knows",
		func(path, key string, sender int64, want intake.Verdict) {
			d := newDeployment()
			d.cfg.Version = 7
			grant, refusal := d.handlers[0].Admit(intake.Call{Host: "h", Path: path, Key: key, Config: sender})
			Expect(grant.Version).To(BeEquivalentTo(7))
			verdict := intake.OK
			if refusal != nil {
				verdict = refusal.Verdict
			}
			Expect(verdict).To(Equal(want))
		},
		Entry("if it is in force", "/s/"+jobID, "key-a", int64(7), intake.OK),
		Entry("or refused if it is not", "/s/"+jobID, "key-a", int64(5), intake.NotReady),
		Entry("or refused although there is no such queue", "/x/"+jobID, "key-a", int64(5), intake.NotReady),
		Entry("or refused although there is no such key", "/s/"+jobID, "no-key", int64(5), intake.NotReady),
		Entry("unless it was not handed on", "/s/"+jobID, "no-key", int64(0), intake.NoKey),
	)
})
