package intake

import (
	"strings"

	"github.com/chestnutsail/chestnutsail/site"
)

// Call is a caller's request before it is matched to a queue.
type Call struct {
	Host string
	Path string
	Key  string
	// Config is the version of the configuration by which the call has to be answered; 0 means
	// the one in force.
	Config int64
}

// Grant describes a call that is allowed.
type Grant struct {
	Queue   site.Queue
	Account site.Account
	// ID is the ID of the job; "" for a call about the whole queue.
	ID string
	// Body is the largest allowed size of the request body in bytes.
	Body int
	// Version is the version of the configuration by which the call was allowed or refused.
	Version int64
}

// Admit matches a call to a queue and checks its API key. The answer is nil if the call is
// allowed. Of a refused call, the grant holds only the version of the configuration.
func (h *Handler) Admit(c Call) (Grant, *Answer) {
	cfg := h.opts.Config()
	if cfg == nil || cfg.Version == 0 {
		return Grant{}, &Answer{Verdict: NotReady, RetryAfter: retryAfter, Reason: "no configuration yet"}
	}
	if c.Config != 0 && c.Config != cfg.Version {
		return Grant{Version: cfg.Version}, &Answer{Verdict: NotReady, RetryAfter: retryAfter, Reason: "another configuration is in force"}
	}
	queue, ok := cfg.Match(c.Host, c.Path)
	if !ok {
		return Grant{Version: cfg.Version}, h.refuseUnlessOutdated(Answer{Verdict: NoQueue, Reason: "no queue at this address"})
	}
	if !queue.Public && h.opts.KeysOutdated() {
		return Grant{Version: cfg.Version}, &Answer{Verdict: NotReady, RetryAfter: retryAfter, Reason: "the configuration is too old to accept keys by"}
	}
	account, ok := cfg.ByKey(c.Key)
	if !ok && !queue.Public {
		return Grant{Version: cfg.Version}, h.refuseUnlessOutdated(Answer{Verdict: NoKey, Reason: "unknown key"})
	}
	g := Grant{Queue: queue, Account: account, ID: c.Path[len(queue.Prefix):], Body: cfg.Limits.Body, Version: cfg.Version}
	if g.Body <= 0 {
		g.Body = defaultMaxBody
	}
	if g.ID != "" && !isID(g.ID) {
		return Grant{Version: cfg.Version}, &Answer{Verdict: Invalid, Reason: "the ID is not 16 hexadecimal digits"}
	}
	return g, nil
}

// refuseUnlessOutdated returns an answer that the configuration gives for good, or a refusal for now if the
// configuration may be outdated. Callers come back after that, to another instance.
func (h *Handler) refuseUnlessOutdated(final Answer) *Answer {
	if !h.opts.ConfigOutdated() {
		return &final
	}
	return &Answer{Verdict: NotReady, RetryAfter: retryAfter, Reason: final.Reason + ", by a configuration that may be outdated"}
}

func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	return strings.Trim(s, "0123456789abcdefABCDEF") == ""
}
