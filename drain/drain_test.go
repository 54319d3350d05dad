package drain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/drain"
)

var _ = Describe("an instance that is leaving service", func() {
	var d *drain.Drainer
	var server *httptest.Server
	var release chan struct{}
	var entered chan struct{}

	startServer := func(opts drain.Options) {
		d = drain.New(opts)
		release, entered = make(chan struct{}), make(chan struct{}, 1000)
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered <- struct{}{}
			<-release
			_, _ = w.Write([]byte("whole"))
		})
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		server = httptest.NewServer(d.Track(d.Admit(slow, refuse)))
		DeferCleanup(server.Close)
	}
	get := func() <-chan *http.Response {
		answers := make(chan *http.Response, 1)
		go func() {
			resp, err := http.Get(server.URL)
			if err == nil {
				answers <- resp
			}
		}()
		return answers
	}

	It("calls all announcing functions at once, even if one of them hangs", func() {
		startServer(drain.Options{Linger: clock.Second})
		announced := make(chan string, 2)
		d.Announce(func() { select {} })
		d.Announce(func() { announced <- "mesh" })
		d.Begin()
		Eventually(announced).Should(Receive())
		Expect(d.Leaving()).To(BeTrue())
		Expect(d.Begun()).To(BeClosed())
	})

	It("serves with 'Connection: close' during the linger time, then refuses", func() {
		startServer(drain.Options{Linger: 200 * clock.Millisecond})
		close(release)
		d.Begin()
		resp := <-get()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		Eventually(func() int { return (<-get()).StatusCode }).Should(Equal(http.StatusServiceUnavailable))
	})

	It("finishes the requests in progress, and answers them with 'Connection: close'", func() {
		startServer(drain.Options{})
		answer := get()
		<-entered
		drained := make(chan error, 1)
		go func() { drained <- d.Drain(context.Background()) }()
		Eventually(d.Begun()).Should(BeClosed())
		Consistently(drained).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		close(release)
		resp := <-answer
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		Eventually(drained).Should(Receive(BeNil()))
	})

	It("reports at the limit how many requests are not finished", func() {
		startServer(drain.Options{Timeout: 50 * clock.Millisecond})
		_ = get()
		<-entered
		Expect(d.Drain(context.Background())).To(MatchError(&drain.Error{InProgress: 1}))
		close(release)
	})
})
