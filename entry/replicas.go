package entry

import (
	"context"

	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/worker"
)

// replicas are the jobs as the reconciler uses them.
type replicas struct {
	*ledger.Ledger
	directory *instances.Directory
}

// State returns the state of a live job. The record says that the job was placed;
// whether it runs is asked of its workers, as far as they belong to this failure domain.
func (r replicas) State(ctx context.Context, domain, account, key string) (job.State, error) {
	id := job.Spec{Account: account, Key: key}.ID()
	e, err := r.Find(ctx, domain, id)
	if err != nil || e.Record.State != job.Placed {
		return e.Record.State, err
	}
	for _, m := range e.Record.Members {
		w, ok := r.directory.Worker(m.Worker)
		if !ok {
			continue
		}
		t, err := w.Client.Task(ctx, id)
		if err != nil || t.State != worker.Running {
			return job.Placed, nil
		}
	}
	return job.Running, nil
}
