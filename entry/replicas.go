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
// State asks each worker of the job whether it runs the job, and returns Running if all of
// them do. A worker that doesn't answer counts as not running the job. Workers that the
// directory doesn't contain, such as those of other failure domains, are not asked.
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
