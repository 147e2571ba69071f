package revision

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode returns the encoding of a difference. It fails with a [*SizeError] when
// that exceeds the limit in bytes; the whole value is then the shorter message.
func Encode[X Difference](kind string, mode cbor.EncMode, limit int, x X) (res []byte, err error) {
	defer func() {
		if err != nil {
			from, to := x.Span()
			err = fmt.Errorf("encode difference from %s %d to %d: %w", kind, from, to, err)
		}
	}()
	res, err = mode.Marshal(x)
	if err != nil {
		return nil, err
	}
	if len(res) > limit {
		return nil, &SizeError{Size: len(res), Limit: limit}
	}
	return res, nil
}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   8,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// Decode reads what Encode wrote. Unknown fields and trailing data are refused;
// operations are not checked.
func Decode[X Difference](kind string, limit int, data []byte) (res X, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode difference between %ss: %w", kind, err)
		}
	}()
	var none X
	if len(data) > limit {
		return none, &SizeError{Size: len(data), Limit: limit}
	}
	if err := decoding.Unmarshal(data, &res); err != nil {
		return none, err
	}
	return res, nil
}
