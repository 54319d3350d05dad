package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

var _ = Describe("an instance whose client sends too much or too little", func() {
	const job = `{"spec":"ms=1","steps":[{"count":1}]}`
	var address string

	BeforeEach(func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		m := startInstance("e1", "a", store.Address())
		address = m.settings.CallerAddress
		Eventually(func() int {
			_, status := platformtest.NewCaller(time.Second).State(GinkgoT().Context(), address, "q", "0000000000000000")
			return status
		}, 5*time.Second).Should(Equal(http.StatusGone))
	})

	DescribeTable("answers without the rest of the request", func(request string, status int, closes bool) {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = fmt.Fprint(conn, request)
		Expect(err).NotTo(HaveOccurred())
		// The deadline ends a test whose instance waits for the rest.
		Expect(conn.SetReadDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Close).To(Equal(closes))
	},
		Entry("for a queue that does not exist, a body that does not come", "POST /none/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: "+platformtest.Host+"\r\nContent-Length: 100000\r\n\r\n{", 404, true),
		Entry("for a queue that does not exist, a small body that has come", "POST /none/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: "+platformtest.Host+"\r\nContent-Length: 2\r\n\r\n{}", 404, false),
		Entry("a body that does not come whole", string(submission("Content-Length: 100\r\n", job)), 400, true),
		Entry("a chunked body that does not come whole", string(submission("Transfer-Encoding: chunked\r\n", "1\r\n{\r\n")), 400, true),
		Entry("a chunked body over the limit", string(submission("Transfer-Encoding: chunked\r\n", "50000\r\n"+strings.Repeat("a", 0x50000))), 400, true),
		Entry("a head with too many lines", string(submission(strings.Repeat("a: b\r\n", 1000), "")), 431, true),
		Entry("a head with a line that is too long", string(submission("a: "+strings.Repeat("a", 100000)+"\r\n", "")), 431, true),
		Entry("empty lines", strings.Repeat("\r\n", 50), 400, true),
	)

	It("gives up a body that comes byte by byte", func() {
		const body = 200
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", platformtest.Host, body)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for range body {
				if _, err := conn.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("answers the next request on a connection whose request it has refused", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
		reader := bufio.NewReader(conn)
		for _, c := range []struct {
			path   string
			status int
		}{{"/none/", 404}, {"/q/", 200}} {
			_, err = fmt.Fprintf(conn, "POST %s5c0e7a21d94b36f8 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", c.path, platformtest.Host, len(job), job)
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(c.status))
			Expect(resp.Body.Close()).To(Succeed())
		}
	})
})
