package node

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// deduplicator records idempotency keys as objects at the platform.
type deduplicator struct {
	store objectstore.Store
	node  string
}

// CreateIfAbsent implements proxy.Deduplicator. An answer that was lost is looked
// up: the record carries the operation that wrote it.
func (d deduplicator) CreateIfAbsent(ctx context.Context, name string) (bool, error) {
	record := api.RequestRecord{Node: d.node, Operation: rand.Text()}
	value, err := json.Marshal(record)
	if err != nil {
		return false, errors.Wrap(err, "encode request record")
	}
	_, err = d.store.Create(ctx, objectstore.KindRequest, name, value)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, objectstore.ErrConflict):
		return false, nil
	case errors.Is(err, objectstore.ErrUnknownOutcome):
		return d.isOwnRecord(ctx, name, record.Operation)
	default:
		return false, err
	}
}

func (d deduplicator) isOwnRecord(ctx context.Context, name, operation string) (bool, error) {
	object, err := d.store.Get(ctx, objectstore.KindRequest, name)
	if err != nil {
		return false, err
	}
	var record api.RequestRecord
	err = json.Unmarshal(object.Value, &record)
	if err != nil {
		return false, errors.Wrap(err, "decode request record")
	}
	return record.Operation == operation, nil
}
