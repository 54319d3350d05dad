package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// callsPath is the prefix of the paths of calls that were handed on, and configPath the path
	// of the configuration.
	callsPath  = "/calls"
	configPath = "/config"
	// versionHeader holds the version of the configuration that the sender knows.
	versionHeader = "Chestnutsail-Config"
	// configTimeout is the timeout for reading the configuration of another instance.
	configTimeout = clock.Second
	// maxConfig is the largest configuration in bytes; it is that of a value in the store.
	maxConfig = 1 << 20
)

// HandlerOptions configures a handler. All fields are required.
type HandlerOptions struct {
	// Calls returns the handler that carries out the calls of callers by the given version of the
	// configuration, and refuses them with 503 if another one is in force. It must not hand them on again.
	Calls func(version int64) http.Handler
	// Config returns the configuration that this instance knows, as the store holds it, and its
	// version.
	Config func() (version int64, raw []byte)
	// OnRefused is called for each call that is refused because the two instances know different
	// configurations.
	OnRefused func(Refusal)
	Log       *logrus.Entry
}

// Refusal is the reason for which an instance refuses a call that was handed on.
type Refusal string

// The reasons of a refusal.
const (
	// SenderBehind means that the sender knows only an older configuration.
	SenderBehind Refusal = "sender behind"
	// ReceiverBehind means that the receiver knows only an older configuration, or none.
	ReceiverBehind Refusal = "receiver behind"
)

// NewHandler returns the handler for the calls of other instances. It refuses calls of an instance that
// knows another configuration than this one.
func NewHandler(opts HandlerOptions) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) {
		version, raw := opts.Config()
		w.Header().Set(versionHeader, strconv.FormatInt(version, 10))
		if _, err := w.Write(raw); err != nil {
			opts.Log.WithError(err).Info("relay: could not write the configuration")
		}
	})
	mux.Handle(callsPath+"/", http.StripPrefix(callsPath, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		versioned := &versionWriter{ResponseWriter: w, config: opts.Config}
		version, _ := opts.Config()
		known := versionOf(r.Header)
		if version == known && version != 0 {
			opts.Calls(version).ServeHTTP(versioned, r)
			return
		}
		refusal := ReceiverBehind
		if version > known {
			refusal = SenderBehind
		}
		opts.OnRefused(refusal)
		opts.Log.WithFields(logrus.Fields{
			"verb": r.Method, "path": r.URL.Path, "sender": r.RemoteAddr, "sender_config": known, "config": version, "reason": string(refusal),
		}).Info("relay: call refused, since the sender knows another configuration")
		http.Error(versioned, "this instance knows another configuration", http.StatusServiceUnavailable)
	})))
	return mux
}

// versionWriter adds the version of the configuration that is known when the answer is written. A
// configuration may come into force while a call is carried out.
type versionWriter struct {
	http.ResponseWriter
	config  func() (version int64, raw []byte)
	written bool
}

// WriteHeader adds the version to the header and writes it.
func (w *versionWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		version, _ := w.config()
		w.Header().Set(versionHeader, strconv.FormatInt(version, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header.
func (w *versionWriter) Write(body []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(body)
}

// versionOf returns the version of the configuration in a header, or 0 if there is none.
func versionOf(h http.Header) int64 {
	version, err := strconv.ParseInt(h.Get(versionHeader), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// adoptNewer adopts the configuration of an instance, and reports whether it is newer than the one in force
// here. The header is that of the instance's answer.
func (r *Relay) adoptNewer(ctx context.Context, peer string, header http.Header) bool {
	version := versionOf(header)
	if version <= r.opts.InForce() {
		return false
	}
	raw, err := r.readConfig(ctx, peer)
	if err != nil {
		r.opts.Log.WithError(err).WithField("peer", peer).Info("relay: newer configuration not read")
	}
	r.opts.Adopt(version, raw)
	return true
}

func (r *Relay) readConfig(ctx context.Context, peer string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), configTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+configPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := r.opts.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK || len(raw) > maxConfig:
		return nil, fmt.Errorf("relay: status %d with %d bytes", resp.StatusCode, len(raw))
	}
	return raw, nil
}
