package entry

import (
	"context"

	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/worker"
)

// replicaJobs adapts the ledger of jobs to the interface that the reconciler uses.
type replicaJobs struct {
	*ledger.Ledger
	directory *instances.Directory
}

// State returns the state of a live job. The ledger only records that a job was placed, so
// State queries the job's workers whether it runs: Running means that all of them run it.
// A worker that can't be queried counts as not running it; workers outside this entry's
// failure domain are not queried.
func (r replicaJobs) State(ctx context.Context, domain, account, key string) (job.State, error) {
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
