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
	// Calls carries out the calls of callers. It must not hand them on again.
	Calls http.Handler
	// Config returns the configuration that this instance knows, as the store holds it, and its
	// version.
	Config func() (version int64, raw []byte)
	Log    *logrus.Entry
}

// NewHandler returns the handler for the calls of other instances. It refuses calls from an instance
// that knows a newer configuration.
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
		version, _ := opts.Config()
		if version < versionOf(r.Header) {
			http.Error(w, "this instance knows only an older configuration", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(versionHeader, strconv.FormatInt(version, 10))
		if known := versionOf(r.Header); version > known {
			opts.Log.WithFields(logrus.Fields{
				"verb": r.Method, "path": r.URL.Path, "sender": r.RemoteAddr, "sender_config": known, "config": version,
			}).Info("relay: carrying out a call of an instance that knows an older configuration")
		}
		opts.Calls.ServeHTTP(w, r)
	})))
	return mux
}

// versionOf returns the version of the configuration in a header, or 0 if there is none.
func versionOf(h http.Header) int64 {
	version, err := strconv.ParseInt(h.Get(versionHeader), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// adoptNewer adopts the configuration of an instance if it is newer than the one known here. The
// header is that of the instance's answer.
func (r *Relay) adoptNewer(ctx context.Context, peer string, header http.Header) {
	version := versionOf(header)
	if version <= r.opts.Version() {
		return
	}
	raw, err := r.readConfig(ctx, peer)
	if err != nil {
		r.opts.Log.WithError(err).WithField("peer", peer).Info("relay: newer configuration not read")
	}
	r.opts.Adopt(version, raw)
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
