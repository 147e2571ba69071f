package revision

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode returns the encoding of a difference. It fails with a [*SizeError] when
// the encoding exceeds limit bytes, in which case the whole value is the shorter
// message. The kind names the numbers in errors, as in [New].
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

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
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

// Decode decodes a difference encoded by [Encode] of at most limit bytes. It
// rejects unknown fields and trailing data, but does not check the operations. The
// kind names the numbers in errors, as in [New].
func Decode[X Difference](kind string, limit int, data []byte) (res X, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode difference between %ss: %w", kind, err)
		}
	}()
	var zero X
	if len(data) > limit {
		return zero, &SizeError{Size: len(data), Limit: limit}
	}
	if err := decMode.Unmarshal(data, &res); err != nil {
		return zero, err
	}
	return res, nil
}
