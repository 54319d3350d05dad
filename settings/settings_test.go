package settings_test

import (
	"errors"
	"os"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/settings"
)

func parseArgs(args ...string) (settings.Entry, error) {
	var s settings.Entry
	app := kingpin.New("test", "").Terminate(nil)
	s.Bind(app.Command("entry", ""))
	_, err := app.Parse(append([]string{"entry"}, args...))
	Expect(err).NotTo(HaveOccurred())
	return s, s.Check()
}

var _ = Describe("the settings of an instance", func() {
	good := []string{"--name=e1", "--domain=a", "--secret=0123456789abcdef"}

	It("fills in defaults", func() {
		s, err := parseArgs(good...)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Advertise).To(Equal(s.Listen))
		Expect(s.DrainTimeout).To(Equal(30 * clock.Second))
	})

	It("fills in defaults of settings that are not read from flags", func() {
		s := settings.Entry{Name: "e1", Domain: "a", Secret: "0123456789abcdef"}
		Expect(s.Check()).To(Succeed())
		Expect(s.Listen).To(Equal("127.0.0.1:7000"))
	})

	It("reports every fault at once and shows no secret", func() {
		_, err := parseArgs("--name=-", "--listen=nowhere", "--store=ftp://x", "--peers=a:1", "--peers=b", "--secret=short", "--log=xml", "--drain=soon")
		var e *settings.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		var flags []string
		for _, f := range e.Faults {
			flags = append(flags, f.Flag)
		}
		Expect(flags).To(ConsistOf("drain", "name", "domain", "listen", "advertise", "store", "peers", "secret", "log"))
		Expect(err.Error()).To(ContainSubstring(`--drain (CHESTNUTSAIL_DRAIN): "soon" is not allowed; want a time from 1s to 10m0s`))
		Expect(err.Error()).NotTo(ContainSubstring("short"))
	})

	DescribeTable("rejects a number out of range, and renewals too rare for the lease",
		func(arg, flag string) {
			_, err := parseArgs(append(good, arg)...)
			var e *settings.Error
			Expect(errors.As(err, &e)).To(BeTrue())
			Expect(e.Faults).To(HaveLen(1))
			Expect(e.Faults[0].Flag).To(Equal(flag))
		},
		Entry("not a number", "--writes=many", "writes"),
		Entry("too few writes", "--writes=-1", "writes"),
		Entry("too many reads", "--reads=100001", "reads"),
		Entry("a lease shorter than two renewal intervals", "--lease=29s", "renew"),
		Entry("a renewal interval longer than half of the lease", "--renew=21s", "renew"),
	)

	It("reads every flag from its environment variable, which the flag overrides", func() {
		for _, s := range settings.Table() {
			Expect(os.Setenv(s.Variable, "x")).To(Succeed())
			DeferCleanup(os.Unsetenv, s.Variable)
		}
		Expect(os.Setenv("CHESTNUTSAIL_PEERS", "h:1\nh:2")).To(Succeed())
		s, _ := parseArgs("--name=e1")
		Expect(s.Name).To(Equal("e1"))
		Expect([]string{s.Domain, s.Listen, s.Advertise, s.StoreURL, s.Secret, s.PreviousSecret, s.LogFormat, s.LogLevel}).To(HaveEach("x"))
		Expect(s.Peers).To(Equal([]string{"h:1", "h:2"}))
	})
})
