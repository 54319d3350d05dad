package fleet_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// submission returns a request that submits a job, with header fields and a body in wire form.
func submission(fields, body string) []byte {
	return []byte("POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + fields + "\r\n" + body)
}

// fuzzedInstance starts an instance that stops with the test, and waits until it is ready.
func fuzzedInstance(f *testing.F) string {
	f.Helper()
	store := platformtest.NewStore()
	f.Cleanup(store.Close)
	store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := platform.Settings{
		Name: "e1", IP: "127.0.0.1", CallerAddress: listenAddress(f), ReadyAddress: listenAddress(f), StoreAddress: store.Address(), Cores: 1, LinkSpeed: 1000,
		MemoryLimit: 284 << 20, Descriptors: 4100, Bounds: platform.Bounds{MaxLease: 5 * clock.Second, StopTime: 100, TerminationGrace: 3 * clock.Second},
	}
	instance := fleet.New(fleet.Options{Settings: s, Log: logrus.NewEntry(log)})
	if err := instance.Start(context.Background()); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = instance.Stop(context.Background()) })
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + s.ReadyAddress + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return s.CallerAddress
		}
	}
	f.Fatal("the instance is not ready")
	return ""
}

func listenAddress(f *testing.F) string {
	f.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// FuzzConnection checks that an instance closes a connection after whatever a client has sent, and answers
// in HTTP if at all.
func FuzzConnection(f *testing.F) {
	const job = `{"spec":"ms=1","steps":[{"count":1}]}`
	for _, seed := range [][]byte{
		submission("Content-Length: 37\r\n", job), submission("Content-Length: 38\r\n", job), submission("Content-Length: 262145\r\n", strings.Repeat("a", 9000)),
		submission("Transfer-Encoding: chunked\r\n", "25\r\n"+job+"\r\n0\r\n\r\n"), submission("Transfer-Encoding: chunked\r\n", strings.Repeat("1\r\na\r\n", 3000)),
		submission("Transfer-Encoding: chunked\r\n", "1;"+strings.Repeat("x", 5000)), submission("Transfer-Encoding: chunked\r\n", "0\r\n"+strings.Repeat("a:\r\n", 2000)),
		submission("Content-Length: 37\r\nExpect: 100-continue\r\n", job), submission(strings.Repeat("a:\r\n", 300), ""), submission("a: "+strings.Repeat("a", 40000), ""),
		[]byte(strings.Repeat("\r\n", 3000)), append(submission("Content-Length: 37\r\n", job), submission("Content-Length: 37\r\n", job)...),
		submission("Content-Length: 262144\r\n", `{"spec":"","steps":[{}`+strings.Repeat(",{}", 20000)), submission("Content-Length: -1\r\n", ""),
		{0},
		{},
	} {
		f.Add(seed)
	}
	address := fuzzedInstance(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := conn.Write(sent); err == nil {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		answer, err := io.ReadAll(io.LimitReader(conn, 1<<20))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection stays open")
		}
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		if len(answer) > 0 && !bytes.HasPrefix(answer, []byte("HTTP/1.")) {
			t.Fatalf("%q", answer)
		}
	})
}
