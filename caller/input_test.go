package caller_test

import (
	"encoding/base64"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

var _ = DescribeTable("bad input is refused with a reason and nothing is handed on",
	func(account, body string, status int, reason outcome.Reason) {
		quick, jobs := &taker{}, &taker{}
		code, o, err := submit(newHandler(quick, jobs), account, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Kind).To(Equal(outcome.NotRun))
		Expect(o.Reason).To(Equal(reason), o.Detail)
		Expect(code).To(Equal(status))
		Expect(len(o.Detail)+len(o.Key)).To(BeNumerically("<", 512), "the refusal repeats the input")
		Expect(append(quick.specs, jobs.specs...)).To(BeEmpty())
	},
	Entry("malformed", "kulhar", `{"service":`, http.StatusBadRequest, outcome.BadRequest),
	Entry("empty", "kulhar", ``, http.StatusBadRequest, outcome.BadRequest),
	Entry("of a wrong type", "kulhar", `{"service":1}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with an unknown field", "kulhar", `{"servcie":"refund"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("followed by more", "kulhar", `{"service":"refund","key":"r"}{"service":"refund","key":"s"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("oversized", "kulhar", `{"service":"`+strings.Repeat("x", 300<<10)+`"}`, http.StatusRequestEntityTooLarge, outcome.TooLarge),
	Entry("with an oversized payload", "kulhar",
		`{"service":"refund","key":"r","payload":"`+base64.StdEncoding.EncodeToString(make([]byte, job.MaxPayload+1))+`"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a long service", "kulhar", `{"service":"`+strings.Repeat("x", 200<<10)+`","key":"r"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a long key", "kulhar", `{"service":"refund","key":"`+strings.Repeat("x", 200<<10)+`"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("without a key", "kulhar", `{"service":"refund"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a key that is a path", "kulhar", `{"service":"refund","key":"../x"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("of an unknown class", "kulhar", `{"service":"refund","key":"r","class":"now"}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a negative shape", "kulhar", `{"service":"refund","key":"r","shape":{"tasks":-1}}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a shape that overflows", "kulhar", `{"service":"refund","key":"r","shape":{"tasks":9223372036854775808}}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with an absurd shape", "kulhar", `{"service":"refund","key":"r","shape":{"accels":65}}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("with a negative deadline", "kulhar", `{"service":"refund","key":"r","deadline_ms":-5}`, http.StatusBadRequest, outcome.BadRequest),
	Entry("from an account the text doesn't list", "nobody", `{"service":"refund","key":"r"}`, http.StatusForbidden, outcome.UnknownAccount),
	Entry("for an unknown service", "kulhar", `{"service":"x","key":"r"}`, http.StatusNotFound, outcome.UnknownService),
	Entry("for another account's service", "kulhar", `{"service":"wipe","key":"r"}`, http.StatusNotFound, outcome.UnknownService),
)
