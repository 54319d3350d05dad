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

var _ = Describe("an instance that leaves", func() {
	var d *drain.Drainer
	var server *httptest.Server
	var release chan struct{}
	var entered chan struct{}

	begin := func(opts drain.Options) {
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

	It("tells all channels at once, though one hangs", func() {
		begin(drain.Options{Linger: clock.Second})
		told := make(chan string, 2)
		d.Announce(func() { select {} })
		d.Announce(func() { told <- "mesh" })
		d.Begin()
		Eventually(told).Should(Receive())
		Expect(d.Leaving()).To(BeTrue())
		Expect(d.Begun()).To(BeClosed())
	})

	It("serves through the linger, asks for the end of the connection, then refuses", func() {
		begin(drain.Options{Linger: 200 * clock.Millisecond})
		close(release)
		d.Begin()
		resp := <-get()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		Eventually(func() int { return (<-get()).StatusCode }).Should(Equal(http.StatusServiceUnavailable))
	})

	It("finishes what is in progress, and marks an answer that began before", func() {
		begin(drain.Options{})
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

	It("tells at the limit how many requests are not finished", func() {
		begin(drain.Options{Limit: 50 * clock.Millisecond})
		_ = get()
		<-entered
		Expect(d.Drain(context.Background())).To(MatchError(&drain.Error{InProgress: 1}))
		close(release)
	})
})
