package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/clients/objects"
	"oleanderdale.org/oleander/clients/tablesvc"
	"oleanderdale.org/oleander/version/publish"
)

// retryDelay is the pause before a failed table operation is retried.
const retryDelay = 300 * time.Millisecond

// platform holds the addresses and credentials of the platform's services.
type platform struct {
	TableURL    string        `name:"table-url" help:"URL of the table service." required:""`
	TableName   string        `help:"Table to use." default:"oleanderdale"`
	TableRegion string        `help:"Region name for the table service and the object store." default:"local"`
	TableKey    string        `help:"Access key for the table service." default:"local"`
	TableSecret string        `help:"Secret for the table service; better set by the environment." default:"local"`
	TableLimit  time.Duration `help:"Time limit of one table operation." default:"3s"`
	ObjectURL   string        `name:"object-url" help:"URL of the object store." required:""`
	Bucket      string        `help:"Bucket to use." default:"oleanderdale"`
	ObjectKey   string        `help:"Access key for the object store." default:"local"`
	ObjectPass  string        `name:"object-secret" help:"Secret for the object store; better set by the environment." default:"localsecret"`
}

func (p *platform) publisher() (*publish.Publisher, error) {
	tableClient, err := tablesvc.New(tablesvc.Settings{
		Endpoint:  p.TableURL,
		Region:    p.TableRegion,
		Table:     p.TableName,
		AccessKey: p.TableKey,
		SecretKey: p.TableSecret,
		Timeout:   p.TableLimit,
	})
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	objectClient, err := objects.New(objects.Settings{
		Endpoint:  p.ObjectURL,
		Region:    p.TableRegion,
		Bucket:    p.Bucket,
		AccessKey: p.ObjectKey,
		SecretKey: p.ObjectPass,
	})
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	return &publish.Publisher{Table: tableClient, Objects: objectClient, Backoff: waitFunc(retryDelay)}, nil
}

// waitFunc returns a function that waits for d, or returns an error if its context
// ends first.
func waitFunc(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		}
	}
}
