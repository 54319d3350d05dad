package caller_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/outcome"
)

var _ = DescribeTable("a refusal doesn't repeat a long input",
	func(body string) {
		h, _, _ := newHandler()
		w, o := do(h, "kulhar", http.MethodPost, "/v1/requests", []byte(body))
		Expect(o.Reason).To(Equal(outcome.BadRequest))
		Expect(w.Body.Len()).To(BeNumerically("<", 512))
	},
	Entry("of the service", `{"service":"`+strings.Repeat("x", 200<<10)+`","key":"r"}`),
	Entry("of the key", `{"service":"refund","key":"`+strings.Repeat("x", 200<<10)+`"}`),
)
