package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"oleanderdale.org/core/message"
)

// ErrUnknownKind means that a message type has no number in this version. A
// received packet of an unknown kind is dropped: its sender may run a newer
// version.
var ErrUnknownKind = errors.New("unknown message kind")

// maxCollectionSize limits the elements of an array or map in a message, so that a
// corrupt length does not make the decoder allocate without limit.
const maxCollectionSize = 1 << 17

// codec encodes messages as CBOR and decodes them.
type codec struct {
	decMode cbor.DecMode
	kindOf  map[reflect.Type]message.Kind
	typeOf  map[message.Kind]reflect.Type
}

func newCodec() (*codec, error) {
	decode, err := cbor.DecOptions{MaxArrayElements: maxCollectionSize, MaxMapPairs: maxCollectionSize}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "peer: create the codec")
	}
	c := &codec{decMode: decode, kindOf: make(map[reflect.Type]message.Kind), typeOf: make(map[message.Kind]reflect.Type)}
	for k, m := range message.Types() {
		t := reflect.TypeOf(m)
		c.kindOf[t], c.typeOf[k] = k, t
	}
	return c, nil
}

// encode returns the kind of m and its encoding.
func (c *codec) encode(m message.Message) (message.Kind, []byte, error) {
	k, ok := c.kindOf[reflect.TypeOf(m)]
	if !ok {
		return 0, nil, errors.Wrapf(ErrUnknownKind, "%T", m)
	}
	body, err := cbor.Marshal(m)
	return k, body, errors.Wrapf(err, "encode %T", m)
}

// decode returns the message of kind k that body encodes.
func (c *codec) decode(k message.Kind, body []byte) (message.Message, error) {
	t, ok := c.typeOf[k]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownKind, "%d", k)
	}
	v := reflect.New(t)
	if err := c.decMode.Unmarshal(body, v.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode %s", t)
	}
	return v.Elem().Interface().(message.Message), nil
}
