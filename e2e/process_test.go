package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const secret = "a-secret-for-tests-only"

var binaryDir string

var _ = BeforeSuite(func() {
	binaryDir = GinkgoT().TempDir()
	for _, name := range []string{"chestnutsail", "standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(binaryDir, name), "../cmd/"+name).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
})

// startProgram starts one of the binaries and returns its process, which is killed when the
// spec ends.
func startProgram(name string, args ...string) *os.Process {
	cmd := exec.Command(filepath.Join(binaryDir, name), args...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	cmd.Env = append(os.Environ(), "CHESTNUTSAIL_SECRET="+secret)
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// runCommand runs a command of chestnutsail to its end with env added to the environment.
// It returns what the command printed and its exit code. Commands that print outcomes do
// so as JSON.
func runCommand(env []string, args ...string) (out string, code int) {
	cmd := exec.Command(filepath.Join(binaryDir, "chestnutsail"), args...)
	cmd.Env = append(append(os.Environ(), "CHESTNUTSAIL_SECRET="+secret), env...)
	if len(args) > 0 && slices.Contains([]string{"submit", "wait", "cancel"}, args[0]) {
		cmd.Env = append(cmd.Env, "CHESTNUTSAIL_JSON=true")
	}
	raw, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		Fail(err.Error())
	}
	return strings.TrimSpace(string(raw)), cmd.ProcessState.ExitCode()
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func respondsOK(url string) func() error {
	return func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", url, resp.Status)
		}
		return nil
	}
}

func eventually(check func() error) {
	GinkgoHelper()
	Eventually(check).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(Succeed())
}

// call sends body as JSON in one HTTP request and returns the body of the answer.
func call(method, url, token string, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// freeSuccessiveAddresses returns the first of count loopback addresses on successive ports
// on which no process listens. The ports are below those that systems usually give to outgoing connections, which
// could take one of them before its process listens.
func freeSuccessiveAddresses(count int) string {
	GinkgoHelper()
	for range 100 {
		first := net.JoinHostPort("127.0.0.1", strconv.Itoa(20000+rand.IntN(12000)))
		free := true
		for i := range count {
			l, err := net.Listen("tcp", addressWithOffset(first, i))
			if free = free && err == nil; err == nil {
				l.Close()
			}
		}
		if free {
			return first
		}
	}
	Fail("found no free successive ports")
	return ""
}

// addressWithOffset returns the address whose port is higher by offset.
func addressWithOffset(address string, offset int) string {
	GinkgoHelper()
	host, port, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	number, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	return net.JoinHostPort(host, strconv.Itoa(number+offset))
}
