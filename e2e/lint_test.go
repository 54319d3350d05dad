package e2e_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	lintedConfig = `{"version":2,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"s","maxAttempts":1,"stretchFactor":3}],
"tenants":[{"name":"kulhar","apiKeys":["hush-1"]},{"name":"anna","apiKeys":["hush-2"]}]}`
	faultyConfig = `{"version":2,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"s","maxAttempts":1,"stretchFactor":3}],
"tenants":[{"name":"kulhar","apiKeys":["hush-1"]},{"name":"anna","apiKeys":["hush-1"]}]}`
)

var _ = Describe("the command lint", func() {
	DescribeTable("exits with the code for what it found and prints no key",
		func(code int, config, expected string, args ...string) {
			current := writeFile("current.json", `{"version":1,"tenants":[{"name":"kulhar","apiKeys":["hush-3"]}]}`)
			args = append(args, "lint", writeFile("next.json", config), "--against", current)
			out, got := runCommand(nil, args...)
			Expect(got).To(Equal(code), out)
			Expect(out).To(ContainSubstring(expected))
			Expect(out).NotTo(ContainSubstring("hush"))
		},
		Entry("0 for a valid configuration", 0, lintedConfig, "next.json: ok"),
		Entry("0 for a valid configuration as JSON", 0, lintedConfig, `"place": "account kulhar",`, "--json"),
		Entry("1 for an error", 1, faultyConfig, "belongs to account kulhar already"),
		Entry("1 for an error as JSON", 1, faultyConfig, `"severity": "error"`, "--json"),
		Entry("2 for text that is no JSON", 2, `{"tenants":[{"apiKeys":[hush-1]}]}`, "invalid JSON at byte 25"),
		Entry("2 for a value of the wrong type", 2, `{"tenants":[{"apiKeys":"hush-1"}]}`, "apiKeys"),
	)
})
